package main

import (
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/settings"
)

// configurationFile is the configuration in the form that apply reads.
type configurationFile struct {
	Revision uint64        `yaml:"revision"`
	Region   string        `yaml:"region"`
	Entries  []string      `yaml:"entries"`
	Zones    []zoneFile    `yaml:"zones"`
	Teams    []teamFile    `yaml:"teams"`
	Services []serviceFile `yaml:"services,omitempty"`
	Weights  weightsFile   `yaml:"weights"`
}

type zoneFile struct {
	Name         string `yaml:"name"`
	OutOfService bool   `yaml:"out_of_service,omitempty"`
	Reason       string `yaml:"reason,omitempty"`
}

type teamFile struct {
	Name              string       `yaml:"name"`
	Weight            int32        `yaml:"weight"`
	Quota             quantityFile `yaml:"quota,omitempty"`
	RequestsPerSecond int32        `yaml:"requests_per_second,omitempty"`
}

type serviceFile struct {
	Name             string       `yaml:"name"`
	Team             string       `yaml:"team"`
	Class            string       `yaml:"class"`
	Replicas         int32        `yaml:"replicas"`
	Size             quantityFile `yaml:"size,omitempty"`
	Timeout          string       `yaml:"timeout,omitempty"`
	LatencyObjective string       `yaml:"latency_objective,omitempty"`
	Payload          string       `yaml:"payload,omitempty"`
}

type quantityFile struct {
	Processors   float64 `yaml:"processors,omitempty"`
	Memory       string  `yaml:"memory,omitempty"`
	Accelerators int64   `yaml:"accelerators,omitempty"`
}

type weightsFile struct {
	TailLatency float64 `yaml:"tail_latency"`
	Throughput  float64 `yaml:"throughput"`
	Evictions   float64 `yaml:"evictions"`
	ZoneWork    float64 `yaml:"zone_work"`
}

func newConfigurationFile(c *operatorv1.Configuration) configurationFile {
	file := configurationFile{
		Revision: c.GetRevision(), Region: c.GetRegion(), Entries: c.GetEntries(),
		Weights: weightsFile{
			TailLatency: c.GetWeights().GetTailLatency(), Throughput: c.GetWeights().GetThroughput(),
			Evictions: c.GetWeights().GetEvictions(), ZoneWork: c.GetWeights().GetZoneWork(),
		},
	}
	for _, z := range c.GetZones() {
		file.Zones = append(file.Zones, zoneFile{z.GetName(), z.GetOutOfService(), z.GetReason()})
	}
	for _, t := range c.GetTeams() {
		file.Teams = append(file.Teams, teamFile{t.GetName(), t.GetWeight(), newQuantityFile(t.GetQuota()), t.GetRequestsPerSecond()})
	}
	for _, s := range c.GetServices() {
		file.Services = append(file.Services, serviceFile{
			Name: s.GetName(), Team: s.GetTeam(), Class: s.GetClass(), Replicas: s.GetReplicas(),
			Size: newQuantityFile(s.GetSize()), Timeout: durationText(s.GetTimeout()),
			LatencyObjective: durationText(s.GetLatencyObjective()), Payload: string(s.GetPayload()),
		})
	}
	return file
}

func newQuantityFile(q *operatorv1.Quantity) quantityFile {
	file := quantityFile{Processors: float64(q.GetMilliCpu()) / milliPerProcessor, Accelerators: q.GetAccelerators()}
	if q.GetMemoryBytes() > 0 {
		file.Memory = settings.FormatSize(q.GetMemoryBytes())
	}
	return file
}

func durationText(d *durationpb.Duration) string {
	if d == nil {
		return ""
	}
	return d.AsDuration().String()
}
