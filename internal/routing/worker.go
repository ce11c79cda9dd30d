// Package routing decides which worker gets a request. It is pure: times are passed in, and random
// numbers come from a seeded source. A Router is not safe for concurrent use.
package routing

import (
	"time"

	"clementineflow/internal/wire"
)

// Worker is the state of a worker that routing needs.
type Worker struct {
	Name, Incarnation, Zone string
	Connected, Leaving      bool
	// HeardAt is when the worker's last heartbeat arrived.
	HeardAt time.Time
	Targets []wire.TargetState
}

// Exclusions counts the workers of a service that were no candidates, per reason.
type Exclusions struct {
	Disconnected int
	Leaving      int
	// ZoneOut counts workers in zones that are out of service or not configured.
	ZoneOut int
	// Silent counts workers whose last heartbeat is older than SilentAfter.
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

// Reason says why a decision was made.
type Reason uint8

// Reasons of a decision.
const (
	// ReasonNoTarget: no worker has announced a target of the service.
	ReasonNoTarget Reason = iota + 1
	// ReasonNoCandidate: each worker of the service is excluded.
	ReasonNoCandidate
	// ReasonOnlyCandidate: one worker was left.
	ReasonOnlyCandidate
	// ReasonOwnZone: the better of two workers of the own zone.
	ReasonOwnZone
	// ReasonAllZones: the better of two workers of any zone; the own zone is overloaded or empty.
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
	// EjectionsIgnored says that ejected workers were candidates because too many were ejected.
	EjectionsIgnored bool
}

// Chosen reports whether the decision names a worker.
func (d Decision) Chosen() bool { return d.Worker != "" }
