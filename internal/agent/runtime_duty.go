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
	// renewTimeout is below lease.Margin, so that a renewal that arrives late cannot keep a task
	// running until an entry denies the worker.
	renewTimeout = time.Second
	listTimeout  = 3 * time.Second
	// startArrivalWindow is how long after its sending a start may reach the runtime. With PermitTerm
	// and startCallWindow it stays below the 5 s in which a zone goes out of service, and it is below
	// lease.Margin like renewTimeout.
	startArrivalWindow = time.Second
	// callTimeout bounds the other calls; a checkpoint can take seconds.
	callTimeout = 10 * time.Second
)

// runtimeDuty makes the calls of the worker runtime and reports their results to the core.
type runtimeDuty struct {
	runtime runtime.Runtime
	post    func(context.Context, input) error
}

// report queues a result. An error means that the agent has ended and needs no results.
func (d *runtimeDuty) report(ctx context.Context, result event) {
	_ = d.post(ctx, input{event: result})
}

// attach makes an attach call.
func (d *runtimeDuty) attach(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	attachment, err := d.runtime.Attach(bounded)
	d.report(ctx, attachResult{attachment: attachment, err: err})
}

// renew makes a renew call with what is left of the worker lease.
func (d *runtimeDuty) renew(ctx context.Context, next renewLease) {
	bounded, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	beganAt := time.Now()
	remaining := next.until.Sub(beganAt)
	err := runtime.ErrUnavailable
	if remaining > 0 {
		err = d.runtime.Renew(bounded, next.session, remaining, earlier(beganAt.Add(renewTimeout), next.until))
	}
	d.report(ctx, renewResult{beganAt: beganAt, session: next.session, err: err})
}

// list makes a list call.
func (d *runtimeDuty) list(ctx context.Context, next listTasks) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	beganAt := time.Now()
	tasks, err := d.runtime.List(bounded, next.session)
	d.report(ctx, listResult{beganAt: beganAt, session: next.session, tasks: tasks, err: err})
}

// call makes a call about one attempt.
func (d *runtimeDuty) call(ctx context.Context, next callRuntime) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	checkpoint, err := d.dispatch(bounded, next)
	d.report(ctx, callResult{op: next.op, kind: next.kind, key: next.key, checkpoint: checkpoint, err: err})
}

// dispatch makes the call and returns the checkpoint of an eviction.
func (d *runtimeDuty) dispatch(ctx context.Context, next callRuntime) (string, error) {
	switch next.kind {
	case callStart:
		return "", d.start(ctx, next)
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

// start makes a start call with what is left of the worker lease, unless its time has passed.
func (d *runtimeDuty) start(ctx context.Context, next callRuntime) error {
	now := time.Now()
	request := next.start
	request.Lease = next.leaseUntil.Sub(now)
	if now.After(next.notAfter) || request.Lease <= 0 {
		return errors.Wrap(runtime.ErrUnavailable, "the start waited too long in the agent")
	}
	// The agent may be frozen from here on, so the runtime checks the bound as well.
	request.NotAfter = earlier(now.Add(startArrivalWindow), next.leaseUntil)
	return d.runtime.Start(ctx, request)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
