package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

// Event is an input to the state machine of a request.
type Event interface{ event() }

// WorkerChosen answers a ChooseWorker with the worker that routing chose.
type WorkerChosen struct{ Worker, Incarnation string }

// NoWorker answers a ChooseWorker for which no worker was chosen and none will be.
type NoWorker struct {
	Cause      Cause
	RetryAfter time.Duration
}

// SendFailed reports that the message of an attempt was certainly not delivered.
type SendFailed struct{ Attempt uint32 }

// ReplyReceived carries a worker's reply, or its answer to a Query.
type ReplyReceived struct {
	Worker string
	Reply  *wire.RequestReply
}

// LinkLost reports that the last link of an incarnation ended.
type LinkLost struct{ Worker, Incarnation string }

// WorkerConnected reports that a worker has a new link.
type WorkerConnected struct{ Worker, Incarnation string }

// Tick reports that the time returned by NextWake was reached.
type Tick struct{}

// CallersGone reports that all callers of the request have disconnected.
type CallersGone struct{}

func (WorkerChosen) event()    {}
func (NoWorker) event()        {}
func (SendFailed) event()      {}
func (ReplyReceived) event()   {}
func (LinkLost) event()        {}
func (WorkerConnected) event() {}
func (Tick) event()            {}
func (CallersGone) event()     {}
