package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// attemptState is the agent's state of a task attempt that the runtime holds or may hold.
type attemptState uint8

const (
	// attemptStarting has a start call in flight.
	attemptStarting attemptState = iota + 1
	attemptRunning
	attemptEvicting
	attemptStopping
	// attemptEnded does not run any more and never will.
	attemptEnded
)

// attempt is one task attempt.
type attempt struct {
	key     capacity.TaskKey
	kind    task.Kind
	class   string
	size    resource.Quantity
	state   attemptState
	session task.Session
	// wanted is attemptEvicting or attemptStopping if that was ordered while the start was in flight.
	wanted attemptState
	// op is the call in flight, or zero.
	op uint64
	// calledAt is when the last call began.
	calledAt time.Time
	// runningSince is when the attempt was known to run; a list that began earlier may lack it.
	runningSince time.Time
	// throttle is the share that the runtime was last told, in thousandths.
	throttle int
	progress int
	usage    resource.Quantity
	usageAge time.Duration
	// outgoing is the event that no entry has acknowledged yet, or nil.
	outgoing *outgoing
	// reason explains an eviction that the agent decided itself.
	reason string
}

// outgoing is a task event that is repeated until it is acknowledged.
type outgoing struct {
	event  wire.TaskEvent
	sentAt time.Time
}

// holdsResources reports whether the attempt runs or may run.
func (a *attempt) holdsResources() bool { return a.state != attemptEnded }

// observe takes over what the runtime reports about a running attempt.
func (a *attempt) observe(status *runtime.Status) {
	a.progress = status.ProgressPermille
	a.usage = status.Usage
	a.usageAge = status.UsageAge
}

// status returns the attempt as it is reported to entries.
func (a *attempt) status() wire.TaskStatus {
	return wire.TaskStatus{
		TaskID:           a.key.TaskID,
		Attempt:          a.key.Attempt,
		Running:          a.holdsResources(),
		Class:            a.class,
		TaskKind:         a.kind,
		Size:             a.size,
		Usage:            a.usage,
		ProgressPermille: a.progress,
		ThrottlePermille: a.throttle,
	}
}
