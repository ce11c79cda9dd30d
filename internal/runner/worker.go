package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// Errors of calls to a worker. After any other error the call may have been carried out, or may still be
// carried out later.
var (
	// ErrNotSent means that nothing listens at the worker's address, so the call had no effect.
	ErrNotSent = errors.New("runner: worker refused the connection")
	// ErrOtherIncarnation means that the call reached another incarnation of the worker and had no effect.
	ErrOtherIncarnation = errors.New("runner: another incarnation of the worker answered")
	// ErrUnhealthy means that the worker is unhealthy and the call had no effect.
	ErrUnhealthy = errors.New("runner: worker is unhealthy")
	// ErrFenced means that the worker has seen a higher fence than that of the call, which had no effect.
	ErrFenced = errors.New("runner: worker refused the call for its fence")
	// ErrInvalid means that the worker rejects the call in any state, so a retry can't succeed.
	ErrInvalid = errors.New("runner: worker rejected the call as invalid")
)

// WorkerStatus is the status of a worker, from its status report.
type WorkerStatus struct {
	ID       string
	Service  string
	Zone     string
	Capacity resource.Quantity
	Labels   []string
	Leaving  bool
	// Remaining is the minimum time until a leaving worker ends.
	Remaining time.Duration
	// Incarnation identifies the incarnation of the worker; it increases with each one of the same ID.
	Incarnation int64
	// Sequence increases with each status of one incarnation.
	Sequence uint64
}

// Target is the worker that a call is meant for, with the caller's fencing token. The worker rejects a fence
// that is lower than the highest it has received.
type Target struct {
	ID    string
	Fence uint64
}

// StartRequest asks the worker to start a run.
type StartRequest struct {
	Target
	Task       string
	Run        uint32
	Payload    string
	Checkpoint string
	// LeaseEnd is the end of the lease for all runs of the worker, on the worker's clock.
	LeaseEnd time.Duration
}

// StartReply is the worker's answer to a start call.
type StartReply struct {
	Clock time.Duration
	// Reason is why the worker rejected the start, or empty if the run is on the worker.
	Reason string
}

// PollRequest asks the worker to extend its lease, to drop confirmed ends, and to list its runs and ends.
type PollRequest struct {
	Target
	// LeaseEnd is the new end of the lease on the worker's clock, or zero to leave the lease as it is.
	LeaseEnd time.Duration
	// ConfirmedUpTo is the highest number up to which all ends are recorded.
	ConfirmedUpTo uint64
	// Wait is how long the worker waits for a run to end before it answers.
	Wait time.Duration
}

// RunState is one run on the worker.
type RunState struct {
	wire.RunRow
	// Measurement is the tail latency in milliseconds for a run that serves requests, and the processors in use, in
	// thousandths, for any other run.
	Measurement int64
}

// Snapshot is a snapshot of the runs on a worker and of the ends that are not confirmed to it. Incarnation is its
// incarnation, or 0 if the worker does not state it.
type Snapshot struct {
	Clock       time.Duration
	Incarnation int64
	Runs        []RunState
	Ends        []wire.EndRow
	// EndsTruncated is set if the worker may hold more ends than it has listed.
	EndsTruncated bool
	// RowsSkipped is set if a row of the worker's lists could not be read.
	RowsSkipped bool
}

// complete reports whether the snapshot holds all runs and ends of the worker.
func (s *Snapshot) complete() bool { return !s.EndsTruncated && !s.RowsSkipped }

// Worker makes calls to the worker on the agent's machine.
type Worker interface {
	// StartRun asks the worker to start a run and returns its answer. It is idempotent for the same run.
	StartRun(ctx context.Context, request StartRequest) (StartReply, error)
	// StopRun tells the worker to end a run, or never to start it if it is not running.
	StopRun(ctx context.Context, target Target, task string, run uint32) error
	// Poll extends the lease, confirms ends, and returns a snapshot of the worker.
	Poll(ctx context.Context, request PollRequest) (Snapshot, error)
	// Probe checks whether a worker listens at its address, whichever incarnation it is. It returns ErrNotSent if the
	// connection is refused.
	Probe(ctx context.Context) error
	// SetPace sets the speed of a run to a percentage of its full speed.
	SetPace(ctx context.Context, target Target, task string, run uint32, percent int) error
}
