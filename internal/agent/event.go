package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// linkID identifies a link within one agent process; ids are never reused.
type linkID uint64

// event is one input of the core.
type event interface{ isEvent() }

// tick triggers the periodic work; it arrives every tickInterval.
type tick struct{}

// linkOpened reports a new link to an entry.
type linkOpened struct {
	link    linkID
	address string
}

// linkClosed reports the end of a link. No messageReceived of the link follows it.
type linkClosed struct{ link linkID }

// messageReceived carries a message from an entry.
type messageReceived struct {
	link    linkID
	message wire.Message
}

// attachResult is the result of attachRuntime.
type attachResult struct {
	attachment runtime.Attachment
	err        error
}

// renewResult is the result of renewLease; beganAt is when the call began.
type renewResult struct {
	beganAt time.Time
	session task.Session
	err     error
}

// listResult is the result of listTasks; beganAt is when the call began.
type listResult struct {
	beganAt time.Time
	session task.Session
	tasks   []runtime.Status
	err     error
}

// callResult is the result of callRuntime.
type callResult struct {
	callID     uint64
	kind       callKind
	key        capacity.TaskKey
	checkpoint string
	err        error
}

// targetAnnounced carries a valid announcement of a target.
type targetAnnounced struct{ announcement Announcement }

// forwardResult is the result of forwardRequest.
type forwardResult struct {
	reply   wire.RequestReply
	elapsed time.Duration
}

// stopRequested starts the planned stop.
type stopRequested struct{}

func (tick) isEvent()            {}
func (linkOpened) isEvent()      {}
func (linkClosed) isEvent()      {}
func (messageReceived) isEvent() {}
func (attachResult) isEvent()    {}
func (renewResult) isEvent()     {}
func (listResult) isEvent()      {}
func (callResult) isEvent()      {}
func (targetAnnounced) isEvent() {}
func (forwardResult) isEvent()   {}
func (stopRequested) isEvent()   {}
