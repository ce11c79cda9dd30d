package agent

import (
	"time"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// linkID numbers the links of one agent process; it is never reused.
type linkID uint64

// event is one input of the core.
type event interface{ isEvent() }

// tick lets time pass; it is due every tickInterval.
type tick struct{}

// linkOpened reports a link that the agent has dialled.
type linkOpened struct {
	link    linkID
	address string
}

// linkClosed reports the end of a link. No message of the link follows it.
type linkClosed struct{ link linkID }

// received carries a message from an entry.
type received struct {
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
	op         uint64
	kind       callKind
	key        capacity.TaskKey
	checkpoint string
	err        error
}

// announced carries a valid announcement of a target.
type announced struct{ announcement Announcement }

// forwarded is the result of forwardRequest.
type forwarded struct {
	reply   wire.RequestReply
	elapsed time.Duration
}

// stopRequested begins the planned stop.
type stopRequested struct{}

func (tick) isEvent()          {}
func (linkOpened) isEvent()    {}
func (linkClosed) isEvent()    {}
func (received) isEvent()      {}
func (attachResult) isEvent()  {}
func (renewResult) isEvent()   {}
func (listResult) isEvent()    {}
func (callResult) isEvent()    {}
func (announced) isEvent()     {}
func (forwarded) isEvent()     {}
func (stopRequested) isEvent() {}
