package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/capacity"
	"clementineflow/internal/lease"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/task"
)

// delayedRuntime delays starts and renewals as if the agent process were paused while sending them.
type delayedRuntime struct {
	*worker.Runtime
	delay time.Duration
}

func (r *delayedRuntime) Start(ctx context.Context, request runtime.StartRequest) error {
	time.Sleep(r.delay)
	return r.Runtime.Start(ctx, request)
}

func (r *delayedRuntime) Renew(ctx context.Context, session task.Session, term time.Duration, notAfter time.Time) error {
	time.Sleep(r.delay)
	return r.Runtime.Renew(ctx, session, term, notAfter)
}

// TestFrozenCalls guards against a start or renewal call that is sent under a valid worker lease, reaches
// the runtime after the lease has ended because the process was paused, and keeps a task running.
func TestFrozenCalls(t *testing.T) {
	for _, delay := range []time.Duration{0, lease.Term + lease.ClockDriftMargin} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			size := resource.Quantity{MilliCPU: 1, MemoryBytes: 1}
			stub := &delayedRuntime{Runtime: worker.NewRuntime(worker.RuntimeConfig{Capacity: size}), delay: delay}
			attachment, err := stub.Attach(t.Context())
			is.NoErr(err)
			caller := &runtimeCaller{runtime: stub}
			until := time.Now().Add(lease.Term)
			call := callRuntime{
				kind: callStart, session: attachment.Session, key: capacity.TaskKey{TaskID: "t", Attempt: 1},
				leaseUntil: until, notAfter: time.Now().Add(startCallWindow),
				start: runtime.StartRequest{Session: attachment.Session, TaskID: "t", Attempt: 1, Kind: task.KindWatch, Size: size},
			}
			_, err = caller.dispatch(t.Context(), call)
			if delay == 0 {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, runtime.ErrTooLate))
			is.True(hadNoEffect(err))
			is.Equal(len(stub.State().Executions), 0)

			stub.delay = 0
			call.notAfter, call.leaseUntil = time.Now().Add(startCallWindow), time.Now().Add(lease.Term+lease.ClockDriftMargin)
			_, err = caller.dispatch(t.Context(), call)
			is.NoErr(err)
			var renewal renewResult
			caller.post = func(_ context.Context, next input) error {
				renewal = next.event.(renewResult)
				return nil
			}
			stub.delay = lease.Term
			caller.callRenew(t.Context(), renewLease{session: attachment.Session, until: time.Now().Add(lease.Term / 2)})
			is.True(errors.Is(renewal.err, runtime.ErrTooLate))
			time.Sleep(lease.ClockDriftMargin)
			is.Equal(stub.State().Running, 0)
		})
	}
}
