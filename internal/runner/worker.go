package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// Errors of the calls to a worker. Any other error means that the call may have been carried out, or may
// be carried out later.
var (
	// ErrNotSent reports a call that certainly had no effect: nothing listens at the worker's address.
	ErrNotSent = errors.New("runner: worker refused the connection")
	// ErrOtherLife reports a call that reached another life of the worker and had no effect.
	ErrOtherLife = errors.New("runner: another life of the worker answered")
	// ErrBusy reports an unhealthy worker that has done nothing.
	ErrBusy = errors.New("runner: worker is unhealthy")
	// ErrInvalid reports a call that the worker does not accept in any state.
	ErrInvalid = errors.New("runner: worker refused the call as invalid")
)

// Description is what a worker says of itself.
type Description struct {
	ID       string
	Service  string
	Zone     string
	Capacity resource.Quantity
	Labels   []string
	Leaving  bool
	// Remaining is the minimum time until a leaving worker ends.
	Remaining time.Duration
	// Clock is the worker's clock when it sent the description.
	Clock time.Duration
	// Born tells lives under one ID apart; it grows.
	Born int64
	// Sequence grows with each description of one life.
	Sequence uint64
}

// Target names the life of the worker that a call is meant for, with the caller's fence.
type Target struct {
	ID    string
	Fence uint64
}

// StartRequest asks the worker to start a run.
type StartRequest struct {
	Target
	Task    string
	Run     uint32
	Payload string
	Saved   string
	// Due is the time on the worker's clock until which its runs are leased.
	Due time.Duration
}

// Verdict is the worker's answer to a start.
type Verdict struct {
	Clock time.Duration
	// Reason is empty if the run is there.
	Reason string
}

// HoldRequest extends the worker's lease, confirms ends, and reads what runs.
type HoldRequest struct {
	Target
	// Due is zero to leave the lease as it is.
	Due time.Duration
	// ConfirmedUpTo is the highest number of which all ends are recorded.
	ConfirmedUpTo uint64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// RunState is one run on the worker.
type RunState struct {
	wire.RunRow
	// Figure is the tail latency in milliseconds of a run that serves requests, and the processors in
	// use, in thousandths, of any other.
	Figure int64
}

// Look is what a worker says of its runs.
type Look struct {
	Clock time.Duration
	Born  int64
	Runs  []RunState
	Ends  []wire.EndRow
}

// Worker is the worker beside the agent.
type Worker interface {
	// Start returns the worker's verdict.
	Start(ctx context.Context, request StartRequest) (Verdict, error)
	// Stop tells the worker to end a run, and never to start it if it is not there.
	Stop(ctx context.Context, target Target, task string, run uint32) error
	// Hold returns what runs on the worker.
	Hold(ctx context.Context, request HoldRequest) (Look, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, target Target, task string, run uint32, percent int) error
}
