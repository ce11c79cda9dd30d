package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/runtime"
)

// Time limits of runtime calls.
const (
	attachTimeout = 5 * time.Second
	// renewTimeout is below lease.ClockDriftMargin, so that a renewal that arrives late cannot extend a
	// task's lease to the time at which an entry may deny the worker.
	renewTimeout = time.Second
	listTimeout  = 3 * time.Second
	// startArrivalWindow is the time after sending within which a start call must reach the runtime. The
	// sum of lease.PermitTerm, startCallWindow and startArrivalWindow must stay below the 5 s within
	// which a zone goes out of service. Like renewTimeout, it is below lease.ClockDriftMargin.
	startArrivalWindow = time.Second
	// callTimeout bounds the calls about one attempt; a checkpoint can take seconds.
	callTimeout = 10 * time.Second
)

// runtimeCaller calls the worker runtime and queues the results for the core.
type runtimeCaller struct {
	runtime runtime.Runtime
	post    func(context.Context, input) error
}

// postResult queues a result for the core. An error means that the agent has stopped, so it is ignored.
func (d *runtimeCaller) postResult(ctx context.Context, result event) {
	_ = d.post(ctx, input{event: result})
}

// callAttach attaches to the runtime and queues the result.
func (d *runtimeCaller) callAttach(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	attachment, err := d.runtime.Attach(callCtx)
	d.postResult(ctx, attachResult{attachment: attachment, err: err})
}

// callRenew renews the task leases for the remaining time of the worker lease and queues the result. If
// no time remains, it makes no call.
func (d *runtimeCaller) callRenew(ctx context.Context, next renewLease) {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	beganAt := time.Now()
	remaining := next.until.Sub(beganAt)
	err := runtime.ErrUnavailable
	if remaining > 0 {
		err = d.runtime.Renew(callCtx, next.session, remaining, earlier(beganAt.Add(renewTimeout), next.until))
	}
	d.postResult(ctx, renewResult{beganAt: beganAt, session: next.session, err: err})
}

// callList lists the runtime's attempts and queues the result.
func (d *runtimeCaller) callList(ctx context.Context, next listTasks) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	beganAt := time.Now()
	tasks, err := d.runtime.List(callCtx, next.session)
	d.postResult(ctx, listResult{beganAt: beganAt, session: next.session, tasks: tasks, err: err})
}

// callAttempt makes a call about one attempt and queues the result.
func (d *runtimeCaller) callAttempt(ctx context.Context, next callRuntime) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	checkpoint, err := d.dispatch(callCtx, next)
	d.postResult(ctx, callResult{callID: next.callID, kind: next.kind, key: next.key, checkpoint: checkpoint, err: err})
}

// dispatch makes the runtime call by its kind. It returns the checkpoint reference of an eviction.
func (d *runtimeCaller) dispatch(ctx context.Context, next callRuntime) (string, error) {
	switch next.kind {
	case callStart:
		return "", d.sendStart(ctx, next)
	case callEvict:
		return d.runtime.Evict(ctx, next.session, next.key.TaskID, next.key.Attempt)
	case callStop:
		return "", d.runtime.Stop(ctx, next.session, next.key.TaskID, next.key.Attempt)
	case callThrottle:
		return "", d.runtime.Throttle(ctx, next.session, next.key.TaskID, next.permille)
	default:
		return "", d.runtime.Forget(ctx, next.session, next.key.TaskID, next.key.Attempt)
	}
}

// sendStart makes a start call with a lease for the remaining time of the worker lease. It returns
// runtime.ErrUnavailable without a call if notAfter has passed or no time remains.
func (d *runtimeCaller) sendStart(ctx context.Context, next callRuntime) error {
	now := time.Now()
	request := next.start
	request.Lease = next.leaseUntil.Sub(now)
	if now.After(next.notAfter) || request.Lease <= 0 {
		return errors.Wrap(runtime.ErrUnavailable, "the start waited too long in the agent")
	}
	// The process may be paused between here and the call, so the runtime checks the bound as well.
	request.NotAfter = earlier(now.Add(startArrivalWindow), next.leaseUntil)
	return d.runtime.Start(ctx, request)
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
