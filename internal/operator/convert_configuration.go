package operator

import (
	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

func zoneToMessage(z configuration.Zone) *operatorv1.Zone {
	return &operatorv1.Zone{Name: z.Name, OutOfService: z.OutOfService, Reason: z.Reason}
}

func zoneFromMessage(m *operatorv1.Zone) configuration.Zone {
	return configuration.Zone{Name: m.GetName(), OutOfService: m.GetOutOfService(), Reason: m.GetReason()}
}

func teamToMessage(t configuration.Team) *operatorv1.Team {
	return &operatorv1.Team{
		Name: t.Name, Quota: quantityToMessage(t.Quota), Weight: int32(t.Weight),
		RequestsPerSecond: int32(t.RequestsPerSecond),
	}
}

func teamFromMessage(m *operatorv1.Team) configuration.Team {
	return configuration.Team{
		Name: m.GetName(), Quota: quantityFromMessage(m.GetQuota()), Weight: int(m.GetWeight()),
		RequestsPerSecond: int(m.GetRequestsPerSecond()),
	}
}

// ServiceToMessage converts a configured service to its protobuf message. Zero durations are left unset.
func ServiceToMessage(s configuration.Service) *operatorv1.Service {
	return &operatorv1.Service{
		Name: s.Name, Team: s.Team, Class: s.Class, Replicas: int32(s.Replicas),
		Size: quantityToMessage(s.Size), Timeout: durationToMessage(s.Timeout),
		LatencyObjective: durationToMessage(s.LatencyObjective), Payload: s.Payload,
	}
}

func serviceFromMessage(m *operatorv1.Service) configuration.Service {
	return configuration.Service{
		Name: m.GetName(), Team: m.GetTeam(), Class: m.GetClass(), Replicas: int(m.GetReplicas()),
		Size: quantityFromMessage(m.GetSize()), Timeout: m.GetTimeout().AsDuration(),
		LatencyObjective: m.GetLatencyObjective().AsDuration(), Payload: m.GetPayload(),
	}
}

// DocumentToMessage converts the revision and the operator-set fields of a document to a protobuf
// message. The change history is not included.
func DocumentToMessage(d *configuration.Document) *operatorv1.Configuration {
	message := &operatorv1.Configuration{
		Revision: d.Revision, Region: d.Region, Entries: d.Entries,
		Weights: &operatorv1.Weights{
			TailLatency: d.Weights.TailLatency, Throughput: d.Weights.Throughput,
			Evictions: d.Weights.Evictions, ZoneWork: d.Weights.ZoneWork,
		},
	}
	for _, zone := range d.Zones {
		message.Zones = append(message.Zones, zoneToMessage(zone))
	}
	for _, team := range d.Teams {
		message.Teams = append(message.Teams, teamToMessage(team))
	}
	for _, service := range d.Services {
		message.Services = append(message.Services, ServiceToMessage(service))
	}
	return message
}

// documentFromMessage converts a configuration that passed validateConfiguration.
func documentFromMessage(m *operatorv1.Configuration) configuration.Document {
	document := configuration.Document{
		Revision: m.GetRevision(), Region: m.GetRegion(), Entries: m.GetEntries(),
		Weights: configuration.Weights{
			TailLatency: m.GetWeights().GetTailLatency(), Throughput: m.GetWeights().GetThroughput(),
			Evictions: m.GetWeights().GetEvictions(), ZoneWork: m.GetWeights().GetZoneWork(),
		},
	}
	for _, zone := range m.GetZones() {
		document.Zones = append(document.Zones, zoneFromMessage(zone))
	}
	for _, team := range m.GetTeams() {
		document.Teams = append(document.Teams, teamFromMessage(team))
	}
	for _, service := range m.GetServices() {
		document.Services = append(document.Services, serviceFromMessage(service))
	}
	return document
}
