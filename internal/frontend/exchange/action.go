package exchange

import "clementineflow/internal/wire"

// Action is an operation that the driver performs for a request. Actions are performed in the order in
// which Step returns them.
type Action interface{ action() }

// ChooseWorker asks for a worker; the driver answers with WorkerChosen or NoWorker, at once or later.
type ChooseWorker struct {
	// Retry is set if an attempt was made before, so that the retry budget applies.
	Retry bool
}

// CancelChoice withdraws a ChooseWorker that was not answered.
type CancelChoice struct{}

// Send sends an attempt to one incarnation of a worker.
type Send struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Query asks an incarnation of a worker for the outcome of an attempt.
type Query struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Cancel tells a worker to cancel the attempt unless it has started.
type Cancel struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Release ends an attempt, so that it no longer counts as in progress at the worker.
type Release struct {
	Worker  string
	Outcome wire.Outcome
	Reason  wire.NotRunReason
	// Status is the target's status if Outcome is wire.OutcomeAnswered.
	Status int
}

// Finish returns the result to the callers. It is the last action of a request.
type Finish struct{ Result Result }

func (ChooseWorker) action() {}
func (CancelChoice) action() {}
func (Send) action()         {}
func (Query) action()        {}
func (Cancel) action()       {}
func (Release) action()      {}
func (Finish) action()       {}
