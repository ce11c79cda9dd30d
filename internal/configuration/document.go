// Package configuration manages the operator-defined configuration of one region. It is a single
// document with a monotonically increasing revision, changed by compare-and-swap and propagated to
// every entry and agent.
package configuration

import (
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Zone is the configuration of one availability zone.
type Zone struct {
	Name string `cbor:"1,keyasint" yaml:"name" json:"name"`
	// OutOfService prevents task starts in the zone and causes its tasks to be moved to other zones.
	OutOfService bool   `cbor:"2,keyasint,omitempty" yaml:"out_of_service" json:"out_of_service"`
	Reason       string `cbor:"3,keyasint,omitempty" yaml:"reason,omitempty" json:"reason,omitempty"`
}

// Team is the unit to which quota and fair-share weight are assigned.
type Team struct {
	Name string `cbor:"1,keyasint" yaml:"name" json:"name"`
	// Quota is the maximum that the team's batch tasks and watches may hold. A zero component means no
	// limit.
	Quota resource.Quantity `cbor:"2,keyasint" yaml:"quota" json:"quota"`
	// Weight is the team's fair-share weight relative to other teams; at least 1.
	Weight int `cbor:"3,keyasint" yaml:"weight" json:"weight"`
	// RequestsPerSecond limits the team's latency-critical requests per entry; zero means no limit.
	RequestsPerSecond int `cbor:"4,keyasint,omitempty" yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
}

// Service is a latency-critical service.
type Service struct {
	Name  string `cbor:"1,keyasint" yaml:"name" json:"name"`
	Team  string `cbor:"2,keyasint" yaml:"team" json:"team"`
	Class string `cbor:"3,keyasint" yaml:"class" json:"class"`
	// Replicas is the number of tasks to keep running; zero if the targets are not started by the
	// scheduler and only announce themselves to it.
	Replicas int               `cbor:"4,keyasint,omitempty" yaml:"replicas" json:"replicas"`
	Size     resource.Quantity `cbor:"5,keyasint" yaml:"size" json:"size"`
	// Timeout is the default deadline of a request.
	Timeout time.Duration `cbor:"6,keyasint" yaml:"timeout" json:"timeout"`
	// LatencyObjective is the p99 latency above which co-located batch work is throttled.
	LatencyObjective time.Duration `cbor:"7,keyasint,omitempty" yaml:"latency_objective" json:"latency_objective"`
	Payload          []byte        `cbor:"8,keyasint,omitempty" yaml:"payload,omitempty" json:"payload,omitempty"`
}

// Weights holds the relative weights of the four measures that decisions are scored by; each is at
// least 0.
type Weights struct {
	TailLatency float64 `cbor:"1,keyasint" yaml:"tail_latency" json:"tail_latency"`
	Throughput  float64 `cbor:"2,keyasint" yaml:"throughput" json:"throughput"`
	Evictions   float64 `cbor:"3,keyasint" yaml:"evictions" json:"evictions"`
	ZoneWork    float64 `cbor:"4,keyasint" yaml:"zone_work" json:"zone_work"`
}

// Change describes one accepted change in the list of revisions.
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
	// Entries lists the names of all entries that may run in the region. Its length is the number of
	// entries (n) in the lease rules.
	Entries  []string  `cbor:"3,keyasint" json:"entries"`
	Zones    []Zone    `cbor:"4,keyasint" json:"zones"`
	Teams    []Team    `cbor:"5,keyasint" json:"teams"`
	Services []Service `cbor:"6,keyasint,omitempty" json:"services"`
	Weights  Weights   `cbor:"7,keyasint" json:"weights"`
	// Changes lists up to MaxChanges of the latest accepted changes, oldest first.
	Changes []Change `cbor:"8,keyasint,omitempty" json:"changes"`
	// CommitID is a random id generated for each change. If the store's answer to the write is lost,
	// reading the document back and comparing the id shows whether the write was applied.
	CommitID string `cbor:"9,keyasint" json:"commit_id"`
}

// MaxChanges is the maximum number of changes kept in a document.
const MaxChanges = 64

// Zone returns the zone with the given name and whether it exists.
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

// Service returns the service with the given name and whether it exists.
func (d *Document) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Team returns the team with the given name and whether it exists.
func (d *Document) Team(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// DefaultPriority is the priority of a task whose specification does not set one.
const DefaultPriority = task.PriorityNormal
