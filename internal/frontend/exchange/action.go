package exchange

import "clementineflow/internal/wire"

// Action is something that the driver does for a request, in the order returned.
type Action interface{ action() }

// Choose asks for a worker; the driver answers with Chosen or NoWorker, at once or later.
type Choose struct {
	// Retry says that an attempt was made before, so that the retry budget applies.
	Retry bool
}

// Abandon withdraws a Choose that was not answered.
type Abandon struct{}

// Send sends an attempt to one incarnation of a worker.
type Send struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Query asks an incarnation of a worker what became of an attempt.
type Query struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Cancel tells a worker that the attempt is not wanted unless it has started.
type Cancel struct {
	Worker, Incarnation string
	Attempt             uint32
}

// Release says that an attempt no longer counts as in progress at a worker.
type Release struct {
	Worker  string
	Outcome wire.Outcome
	Reason  wire.NotRunReason
	// Status is the target's status if Outcome is wire.OutcomeAnswered.
	Status int
}

// Finish gives the result to the callers. It is the last action of a request.
type Finish struct{ Result Result }

func (Choose) action()  {}
func (Abandon) action() {}
func (Send) action()    {}
func (Query) action()   {}
func (Cancel) action()  {}
func (Release) action() {}
func (Finish) action()  {}
