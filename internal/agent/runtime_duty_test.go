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

// frozenRuntime delays starts and renewals as if the agent were frozen while it sends them.
type frozenRuntime struct {
	*worker.Runtime
	freeze time.Duration
}

func (r *frozenRuntime) Start(ctx context.Context, request runtime.StartRequest) error {
	time.Sleep(r.freeze)
	return r.Runtime.Start(ctx, request)
}

func (r *frozenRuntime) Renew(ctx context.Context, session task.Session, term time.Duration, notAfter time.Time) error {
	time.Sleep(r.freeze)
	return r.Runtime.Renew(ctx, session, term, notAfter)
}

// TestFrozenCalls guards against a start or a renewal that was computed under a worker lease, reaches
// the runtime after its end and keeps a task running there.
func TestFrozenCalls(t *testing.T) {
	for _, freeze := range []time.Duration{0, lease.Term + lease.Margin} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			size := resource.Quantity{MilliCPU: 1, MemoryBytes: 1}
			stub := &frozenRuntime{Runtime: worker.NewRuntime(worker.RuntimeConfig{Capacity: size}), freeze: freeze}
			attachment, err := stub.Attach(t.Context())
			is.NoErr(err)
			duty := &runtimeDuty{runtime: stub}
			until := time.Now().Add(lease.Term)
			call := callRuntime{
				kind: callStart, session: attachment.Session, key: capacity.TaskKey{TaskID: "t", Attempt: 1},
				leaseUntil: until, notAfter: time.Now().Add(startCallWindow),
				start: runtime.StartRequest{Session: attachment.Session, TaskID: "t", Attempt: 1, Kind: task.KindWatch, Size: size},
			}
			_, err = duty.dispatch(t.Context(), call)
			if freeze == 0 {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, runtime.ErrTooLate))
			is.True(isCertain(err))
			is.Equal(len(stub.State().Executions), 0)

			stub.freeze = 0
			call.notAfter, call.leaseUntil = time.Now().Add(startCallWindow), time.Now().Add(lease.Term+lease.Margin)
			_, err = duty.dispatch(t.Context(), call)
			is.NoErr(err)
			var renewal renewResult
			duty.post = func(_ context.Context, next input) error {
				renewal = next.event.(renewResult)
				return nil
			}
			stub.freeze = lease.Term
			duty.renew(t.Context(), renewLease{session: attachment.Session, until: time.Now().Add(lease.Term / 2)})
			is.True(errors.Is(renewal.err, runtime.ErrTooLate))
			time.Sleep(lease.Margin)
			is.Equal(stub.State().Running, 0)
		})
	}
}
