package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

// Event is something that happened to a request.
type Event interface{ event() }

// Chosen says that routing chose a worker after a Choose.
type Chosen struct{ Worker, Incarnation string }

// NoWorker says that no worker was chosen after a Choose, and none will be.
type NoWorker struct {
	Cause      Cause
	RetryAfter time.Duration
}

// SendFailed says that the message of an attempt was certainly not delivered.
type SendFailed struct{ Attempt uint32 }

// Replied carries a worker's reply, or its answer to a Query.
type Replied struct {
	Worker string
	Reply  *wire.RequestReply
}

// LinkLost says that the last link of an incarnation ended.
type LinkLost struct{ Worker, Incarnation string }

// Connected says that a worker has a new link.
type Connected struct{ Worker, Incarnation string }

// Tick says that NextWake was reached.
type Tick struct{}

// CallerGone says that no caller waits any more.
type CallerGone struct{}

func (Chosen) event()     {}
func (NoWorker) event()   {}
func (SendFailed) event() {}
func (Replied) event()    {}
func (LinkLost) event()   {}
func (Connected) event()  {}
func (Tick) event()       {}
func (CallerGone) event() {}
