// Package configuration holds the operators' configuration of one region: one document with a
// revision that only grows, changed by compare-and-swap and propagated to every entry and agent.
package configuration

import (
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Zone is the configuration of one availability zone.
type Zone struct {
	Name string `cbor:"1,keyasint" yaml:"name" json:"name"`
	// OutOfService forbids task starts in the zone and moves its tasks elsewhere.
	OutOfService bool   `cbor:"2,keyasint,omitempty" yaml:"out_of_service" json:"out_of_service"`
	Reason       string `cbor:"3,keyasint,omitempty" yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Team is a holder of quota.
type Team struct {
	Name string `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Quota is the most that the team's batch tasks and watches may hold; zero components mean no limit.
	Quota resource.Quantity `cbor:"2,keyasint" yaml:"quota" json:"quota"`
	// Weight is the team's fair share relative to other teams; at least 1.
	Weight int `cbor:"3,keyasint" yaml:"weight" json:"weight"`
	// RequestsPerSecond limits the team's latency-critical requests per entry; zero means no limit.
	RequestsPerSecond int `cbor:"4,keyasint,omitempty" yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
}

// Service is a latency-critical service.
type Service struct {
	Name  string `cbor:"1,keyasint" yaml:"name" json:"name"`
	Team  string `cbor:"2,keyasint" yaml:"team" json:"team"`
	Class string `cbor:"3,keyasint" yaml:"class" json:"class"`
	// Replicas is the number of tasks to keep running; zero if targets run outside the scheduler
	// and only announce themselves.
	Replicas int               `cbor:"4,keyasint,omitempty" yaml:"replicas" json:"replicas"`
	Size     resource.Quantity `cbor:"5,keyasint" yaml:"size" json:"size"`
	// Timeout is the default deadline of a request.
	Timeout time.Duration `cbor:"6,keyasint" yaml:"timeout" json:"timeout"`
	// LatencyObjective is the p99 latency above which co-located batch work is throttled.
	LatencyObjective time.Duration `cbor:"7,keyasint,omitempty" yaml:"latency_objective" json:"latency_objective"`
	Payload          []byte        `cbor:"8,keyasint,omitempty" yaml:"payload,omitempty" json:"payload,omitempty"`
}

// Weights says how much each of the four measures counts in decisions; each is at least 0.
type Weights struct {
	TailLatency float64 `cbor:"1,keyasint" yaml:"tail_latency" json:"tail_latency"`
	Throughput  float64 `cbor:"2,keyasint" yaml:"throughput" json:"throughput"`
	Evictions   float64 `cbor:"3,keyasint" yaml:"evictions" json:"evictions"`
	ZoneWork    float64 `cbor:"4,keyasint" yaml:"zone_work" json:"zone_work"`
}

// Change summarises one accepted change, for the list of revisions.
type Change struct {
	Revision  uint64    `cbor:"1,keyasint" json:"revision"`
	At        time.Time `cbor:"2,keyasint" json:"at"`
	RequestID string    `cbor:"3,keyasint" json:"request_id"`
	Author    string    `cbor:"4,keyasint,omitempty" json:"author"`
	Summary   string    `cbor:"5,keyasint" json:"summary"`
}

// Document is the configuration of one region.
type Document struct {
	// Revision grows by one with each accepted change.
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Region   string `cbor:"2,keyasint" json:"region"`
	// Entries names every entry that may run in the region; its length is the n of the lease rules.
	Entries  []string  `cbor:"3,keyasint" json:"entries"`
	Zones    []Zone    `cbor:"4,keyasint" json:"zones"`
	Teams    []Team    `cbor:"5,keyasint" json:"teams"`
	Services []Service `cbor:"6,keyasint,omitempty" json:"services"`
	Weights  Weights   `cbor:"7,keyasint" json:"weights"`
	// Changes lists the latest accepted changes, oldest first, at most MaxChanges.
	Changes []Change `cbor:"8,keyasint,omitempty" json:"changes"`
	// CommitID is drawn for each write, so that a lost answer can be resolved by reading back.
	CommitID string `cbor:"9,keyasint" json:"commit_id"`
}

// MaxChanges is the number of changes kept in a document.
const MaxChanges = 64

// Zone returns the zone with the name.
func (d *Document) Zone(name string) (Zone, bool) {
	for _, zone := range d.Zones {
		if zone.Name == name {
			return zone, true
		}
	}
	return Zone{}, false
}

// ZoneInService reports whether the zone exists and is in service.
func (d *Document) ZoneInService(name string) bool {
	zone, ok := d.Zone(name)
	return ok && !zone.OutOfService
}

// Service returns the service with the name.
func (d *Document) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Team returns the team with the name.
func (d *Document) Team(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// DefaultPriority is the priority of a task whose specification names none.
const DefaultPriority = task.PriorityNormal
