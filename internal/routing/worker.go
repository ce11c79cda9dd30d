// Package routing decides which worker gets a request. It is deterministic: the caller passes in the
// time, and random numbers come from a seeded source. A Router is not safe for concurrent use.
package routing

import (
	"time"

	"clementineflow/internal/wire"
)

// Worker is the part of a worker's state that routing uses.
type Worker struct {
	Name, Incarnation, Zone string
	Connected, Leaving      bool
	// HeartbeatAt is the arrival time of the worker's last heartbeat.
	HeartbeatAt time.Time
	Targets     []wire.TargetState
}

// Exclusions counts the workers of a service that were not candidates, by reason. The field names appear
// in the log of routing decisions.
type Exclusions struct {
	Disconnected int
	Leaving      int
	// ZoneOut counts workers in zones that are out of service or not configured.
	ZoneOut int
	// Silent counts workers whose last heartbeat is older than HeartbeatTimeout.
	Silent  int
	Ejected int
	// Full counts workers without a free slot or connection.
	Full int
	// Tried counts workers on which an earlier attempt of the request was made.
	Tried int
}

// Total returns the number of excluded workers.
func (e Exclusions) Total() int {
	return e.Disconnected + e.Leaving + e.ZoneOut + e.Silent + e.Ejected + e.Full + e.Tried
}

// Reason is the reason for a decision.
type Reason uint8

// Reasons of a decision.
const (
	// ReasonNoTarget: no worker has announced a target of the service.
	ReasonNoTarget Reason = iota + 1
	// ReasonNoCandidate: every worker of the service is excluded.
	ReasonNoCandidate
	// ReasonOnlyCandidate: only one worker is not excluded.
	ReasonOnlyCandidate
	// ReasonOwnZone: the worker has the lower cost of two drawn from the own zone.
	ReasonOwnZone
	// ReasonAllZones: the worker has the lower cost of two drawn from all zones, because the own zone is
	// overloaded or has no candidate that is fast enough.
	ReasonAllZones
)

// String returns the reason for logs.
func (r Reason) String() string {
	switch r {
	case ReasonNoTarget:
		return "no target"
	case ReasonNoCandidate:
		return "no candidate"
	case ReasonOnlyCandidate:
		return "only candidate"
	case ReasonOwnZone:
		return "least outstanding in own zone"
	case ReasonAllZones:
		return "least outstanding in all zones"
	default:
		return "unknown"
	}
}

// Decision is the result of Pick.
type Decision struct {
	// Worker is empty if none was chosen.
	Worker, Incarnation string
	Reason              Reason
	// Candidates is the number of workers that could have been chosen.
	Candidates int
	// InProgress is the number of requests in progress at the chosen worker, before this one.
	InProgress int
	Excluded   Exclusions
	// EjectionsIgnored means that ejected workers were candidates, because more than half of the workers
	// were ejected or the others could not serve the load.
	EjectionsIgnored bool
}

// Chosen reports whether a worker was chosen.
func (d Decision) Chosen() bool { return d.Worker != "" }
