package entry

import (
	"context"
	"time"

	"clementineflow/internal/runtime"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/store"
	"clementineflow/internal/task"
)

// processStore is a process's client of the store. While the process is paused, its calls and their
// replies are delayed; after it has stopped, calls fail.
type processStore struct {
	inner   store.Store
	process *process
}

// callStore makes a store call for a process. The call fails if the process stops before it or during it.
func callStore[Answer any](p *process, call func() (Answer, error)) (Answer, error) {
	var none Answer
	if !p.waitWhilePaused() {
		return none, store.ErrUnavailable
	}
	answer, err := call()
	if !p.waitWhilePaused() {
		return none, store.ErrOutcomeUnknown
	}
	return answer, err
}

func (s processStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	return callStore(s.process, func() (store.KeyValue, error) { return s.inner.Get(ctx, key) })
}

func (s processStore) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	return callStore(s.process, func() ([]store.KeyValue, error) { return s.inner.List(ctx, prefix) })
}

func (s processStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	return callStore(s.process, func() (store.Revision, error) { return s.inner.CompareAndSwap(ctx, key, expected, value, lease) })
}

func (s processStore) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := callStore(s.process, func() (bool, error) { return true, s.inner.Delete(ctx, key, expected) })
	return err
}

func (s processStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return callStore(s.process, func() (store.LeaseID, error) { return s.inner.GrantLease(ctx, ttl) })
}

func (s processStore) RenewLease(ctx context.Context, lease store.LeaseID) error {
	_, err := callStore(s.process, func() (bool, error) { return true, s.inner.RenewLease(ctx, lease) })
	return err
}

func (s processStore) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	_, err := callStore(s.process, func() (bool, error) { return true, s.inner.RevokeLease(ctx, lease) })
	return err
}

func (s processStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.Watcher, error) {
	watcher, err := callStore(s.process, func() (store.Watcher, error) { return s.inner.Watch(ctx, prefix, after) })
	if err != nil {
		return nil, err
	}
	return processWatcher{watcher, s.process}, nil
}

type processWatcher struct {
	store.Watcher
	process *process
}

func (w processWatcher) Next(ctx context.Context) (store.Event, error) {
	return callStore(w.process, func() (store.Event, error) { return w.Watcher.Next(ctx) })
}

// processRuntime is an agent's client of the worker runtime. A call whose context ends continues in the
// background and may take effect later.
type processRuntime struct {
	inner   *worker.Runtime
	process *process
}

// callRuntime makes a runtime call for an agent and stops waiting for the reply when the context ends.
func callRuntime[Answer any](ctx context.Context, r processRuntime, do func() (Answer, error)) (Answer, error) {
	type result struct {
		answer Answer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		var none Answer
		if !r.process.waitWhilePaused() {
			done <- result{none, runtime.ErrUnavailable}
			return
		}
		answer, err := do()
		r.process.waitWhilePaused()
		done <- result{answer, err}
	}()
	select {
	case got := <-done:
		return got.answer, got.err
	case <-ctx.Done():
		var none Answer
		return none, runtime.ErrOutcomeUnknown
	}
}

func (r processRuntime) Attach(ctx context.Context) (runtime.Attachment, error) {
	return callRuntime(ctx, r, func() (runtime.Attachment, error) { return r.inner.Attach(ctx) })
}

func (r processRuntime) Start(ctx context.Context, request runtime.StartRequest) error {
	_, err := callRuntime(ctx, r, func() (bool, error) { return true, r.inner.Start(ctx, request) })
	return err
}

func (r processRuntime) Renew(ctx context.Context, session task.Session, lease time.Duration, notAfter time.Time) error {
	_, err := callRuntime(ctx, r, func() (bool, error) { return true, r.inner.Renew(ctx, session, lease, notAfter) })
	return err
}

func (r processRuntime) Evict(ctx context.Context, session task.Session, taskID string, attempt uint32) (string, error) {
	return callRuntime(ctx, r, func() (string, error) { return r.inner.Evict(ctx, session, taskID, attempt) })
}

func (r processRuntime) Stop(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := callRuntime(ctx, r, func() (bool, error) { return true, r.inner.Stop(ctx, session, taskID, attempt) })
	return err
}

func (r processRuntime) Throttle(ctx context.Context, session task.Session, taskID string, permille int) error {
	_, err := callRuntime(ctx, r, func() (bool, error) { return true, r.inner.Throttle(ctx, session, taskID, permille) })
	return err
}

func (r processRuntime) List(ctx context.Context, session task.Session) ([]runtime.Status, error) {
	return callRuntime(ctx, r, func() ([]runtime.Status, error) { return r.inner.List(ctx, session) })
}

func (r processRuntime) Forget(ctx context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := callRuntime(ctx, r, func() (bool, error) { return true, r.inner.Forget(ctx, session, taskID, attempt) })
	return err
}
