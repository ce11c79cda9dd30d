package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// action is one output of the core. Agent executes actions in order.
type action interface{ isAction() }

// sendMessage queues a message on a link.
type sendMessage struct {
	link    linkID
	message wire.Message
}

// connectEntries adds entries to dial; entries that are dialled already are ignored.
type connectEntries struct{ entries []wire.EntryAddress }

// closeLink closes a link; its entry is then dialled again.
type closeLink struct{ link linkID }

// attachRuntime attaches to the worker runtime.
type attachRuntime struct{}

// renewLease renews the leases of all tasks until the given time.
type renewLease struct {
	session task.Session
	until   time.Time
}

// listTasks lists the runtime's attempts.
type listTasks struct{ session task.Session }

// callKind is the kind of a runtime call about one task attempt.
type callKind uint8

const (
	callStart callKind = iota + 1
	callEvict
	callStop
	callThrottle
	callForget
)

// callRuntime makes one runtime call about one task attempt.
type callRuntime struct {
	callID  uint64
	kind    callKind
	session task.Session
	key     capacity.TaskKey
	// start is the request of callStart; its lease is set from leaseUntil when the call begins.
	start      runtime.StartRequest
	leaseUntil time.Time
	// notAfter is the latest time at which callStart may begin, so that a queued start does not outlive
	// its permit.
	notAfter time.Time
	// permille is the processor share that callThrottle sets, in thousandths.
	permille int
}

// forwardRequest sends a request to a local target.
type forwardRequest struct {
	request     *wire.Request
	target      capacity.TargetKey
	connections int
	deadline    time.Time
}

// logRecord logs a decision and increments its counter.
type logRecord struct{ record record }

// exit ends the agent; the planned stop is complete.
type exit struct{}

func (sendMessage) isAction()    {}
func (connectEntries) isAction() {}
func (closeLink) isAction()      {}
func (attachRuntime) isAction()  {}
func (renewLease) isAction()     {}
func (listTasks) isAction()      {}
func (callRuntime) isAction()    {}
func (forwardRequest) isAction() {}
func (logRecord) isAction()      {}
func (exit) isAction()           {}
