package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// attemptState is the agent's view of a task attempt that the runtime holds or may hold.
type attemptState uint8

const (
	// attemptStarting means that the start call has not succeeded yet; it may have taken effect.
	attemptStarting attemptState = iota + 1
	attemptRunning
	attemptEvicting
	attemptStopping
	// attemptEnded means that the attempt does not run and never runs again.
	attemptEnded
)

// attempt is the state of one tracked task attempt.
type attempt struct {
	key     capacity.TaskKey
	kind    task.Kind
	class   string
	size    resource.Quantity
	state   attemptState
	session task.Session
	// requestedEnd is attemptEvicting or attemptStopping if that was requested while the start call was
	// in flight, or zero.
	requestedEnd attemptState
	// callID is the id of the runtime call in flight, or zero.
	callID uint64
	// calledAt is when the last runtime call was issued.
	calledAt time.Time
	// runningSince is when the start was confirmed. A list call that began earlier may lack the attempt.
	runningSince time.Time
	// throttle is the processor share last set at the runtime, in thousandths; zero if unknown.
	throttle int
	// endingAt is when the evict or stop call was first made, or zero.
	endingAt time.Time
	// pauseSent is set once the pause before a planned exit was requested; the share is not changed afterwards.
	pauseSent bool
	progress  int
	usage     resource.Quantity
	usageAge  time.Duration
	// unackedEvent is the last event, or nil once an entry has acknowledged it.
	unackedEvent *unackedEvent
	// reason explains why the attempt is evicted or stopped; it is sent as the detail of the event.
	reason string
}

// unackedEvent is a task event that is sent again until it is acknowledged.
type unackedEvent struct {
	event  wire.TaskEvent
	sentAt time.Time
}

// holdsResources reports whether the attempt runs or may run, and so occupies capacity.
func (a *attempt) holdsResources() bool { return a.state != attemptEnded }

// updateFromStatus copies progress and usage from the runtime's status.
func (a *attempt) updateFromStatus(status *runtime.Status) {
	a.progress = status.ProgressPermille
	a.usage = status.Usage
	a.usageAge = status.UsageAge
}

// status returns the wire status of the attempt for reports to entries.
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
