package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// action is one output of the core. The shells carry actions out in order.
type action interface{ isAction() }

// sendMessage queues a message on a link.
type sendMessage struct {
	link    linkID
	message wire.Message
}

// connectEntries adds entries to dial; known ones are ignored.
type connectEntries struct{ entries []wire.EntryAddress }

// closeLink ends a link; its entry is dialled again.
type closeLink struct{ link linkID }

// attachRuntime attaches to the worker runtime.
type attachRuntime struct{}

// renewLease renews the leases of all tasks until the given time.
type renewLease struct {
	session task.Session
	until   time.Time
}

// listTasks lists the attempts that the runtime holds.
type listTasks struct{ session task.Session }

// callKind names a call about one task attempt.
type callKind uint8

const (
	callStart callKind = iota + 1
	callEvict
	callStop
	callThrottle
	callForget
)

// callRuntime makes one call about one task attempt.
type callRuntime struct {
	op      uint64
	kind    callKind
	session task.Session
	key     capacity.TaskKey
	// start is the request of callStart; its lease is set from leaseUntil when the call begins.
	start      runtime.StartRequest
	leaseUntil time.Time
	// notAfter is when callStart must have begun, so that a queued start does not outlive its permit.
	notAfter time.Time
	permille int
}

// forwardRequest runs a request at a target.
type forwardRequest struct {
	request     *wire.Request
	target      capacity.TargetKey
	connections int
	deadline    time.Time
}

// report logs and counts one decision.
type report struct{ record record }

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
func (report) isAction()         {}
func (exit) isAction()           {}
