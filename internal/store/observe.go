package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// silentAfter is how long a watch call may take beyond its wait time before it counts as unanswered.
const silentAfter = 300 * time.Millisecond

// MinSilence is the shortest time without an answer after which a call can count as silent. Callers' deadlines can be shorter.
const MinSilence = 100 * time.Millisecond

// errWatchSilent reports a watch call without a response for its wait time and silentAfter.
var errWatchSilent = errors.New("store: no response to a watch")

// Observer is told whether the store answers calls. Its methods must not block.
type Observer interface {
	// Answered reports that the store has answered a call that was sent at the given time.
	Answered(sent time.Time)
	// Unanswered reports a call that failed without a usable answer. watch is set for the observed watch, which is also
	// reported while it is silent.
	Unanswered(watch bool, cause error)
}

// observed reports the results of all calls to an observer.
type observed struct {
	Service
	watchPrefix string
	observer    Observer
}

// Observe returns a service that reports its calls to the observer. The watch of watchPrefix, if that is not empty, is
// reported as such. Not reported are throttled calls, and those that ended with their context because they were cancelled or
// had less than MinSilence.
func Observe(service Service, watchPrefix string, observer Observer) Service {
	return &observed{Service: service, watchPrefix: watchPrefix, observer: observer}
}

// EndedEarly reports whether the context of a call that was sent at the given time is cancelled, or has ended before the call
// had MinSilence. A failure of such a call says nothing about the store.
func EndedEarly(ctx context.Context, sent time.Time) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	now := time.Now()
	deadline, ok := ctx.Deadline() // a call can fail at its deadline just before its context ends
	return ok && !now.Before(deadline) && now.Sub(sent) < MinSilence
}

// observeCall makes a call and reports its result.
func observeCall[T any](ctx context.Context, o *observed, watch bool, call func() (T, error)) (T, error) {
	sent := time.Now()
	result, err := call()
	switch {
	case errors.Is(err, ErrThrottled): // neither an answer nor a failure
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrOutcomeUnknown):
		if !EndedEarly(ctx, sent) {
			o.observer.Unanswered(watch, err)
		}
	case !errors.Is(err, ErrValueTooLarge): // such a value is not sent
		o.observer.Answered(sent)
	}
	return result, err
}

// observeError is observeCall for a call that returns only an error.
func observeError(ctx context.Context, o *observed, call func() error) error {
	_, err := observeCall(ctx, o, false, func() (struct{}, error) { return struct{}{}, call() })
	return err
}

// isWatched reports whether calls for the prefix belong to the observed watch.
func (o *observed) isWatched(prefix string) bool {
	return o.watchPrefix != "" && prefix == o.watchPrefix
}

// reportSilence reports a call of the observed watch that has no response for its wait time and silentAfter, unless the
// returned function is called before.
func (o *observed) reportSilence(watch bool, wait time.Duration) (stop func()) {
	if !watch {
		return func() {}
	}
	silent := time.AfterFunc(wait+silentAfter, func() { o.observer.Unanswered(true, errWatchSilent) })
	return func() { silent.Stop() }
}

// Get implements Store.
func (o *observed) Get(ctx context.Context, key string) (KeyValue, error) {
	return observeCall(ctx, o, false, func() (KeyValue, error) { return o.Service.Get(ctx, key) })
}

// List implements Store.
func (o *observed) List(ctx context.Context, prefix string) ([]KeyValue, error) {
	return observeCall(ctx, o, false, func() ([]KeyValue, error) { return o.Service.List(ctx, prefix) })
}

// CompareAndSwap implements Store.
func (o *observed) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	return observeCall(ctx, o, false, func() (Revision, error) {
		return o.Service.CompareAndSwap(ctx, key, expected, value, lease)
	})
}

// Delete implements Store.
func (o *observed) Delete(ctx context.Context, key string, expected Revision) error {
	return observeError(ctx, o, func() error { return o.Service.Delete(ctx, key, expected) })
}

// GrantLease implements Store.
func (o *observed) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return observeCall(ctx, o, false, func() (LeaseID, error) { return o.Service.GrantLease(ctx, ttl) })
}

// RenewLease implements Store.
func (o *observed) RenewLease(ctx context.Context, lease LeaseID) error {
	return observeError(ctx, o, func() error { return o.Service.RenewLease(ctx, lease) })
}

// RevokeLease implements Store.
func (o *observed) RevokeLease(ctx context.Context, lease LeaseID) error {
	return observeError(ctx, o, func() error { return o.Service.RevokeLease(ctx, lease) })
}

// ListAt implements Feed.
func (o *observed) ListAt(ctx context.Context, prefix string) ([]KeyValue, Revision, error) {
	watch := o.isWatched(prefix)
	defer o.reportSilence(watch, 0)()
	var at Revision
	items, err := observeCall(ctx, o, watch, func() (items []KeyValue, err error) {
		items, at, err = o.Service.ListAt(ctx, prefix)
		return items, err
	})
	return items, at, err
}

// Changes implements Feed.
func (o *observed) Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	watch := o.isWatched(prefix)
	defer o.reportSilence(watch, wait)()
	return observeCall(ctx, o, watch, func() (Changes, error) { return o.Service.Changes(ctx, prefix, after, wait) })
}

// Commit implements Transactor.
func (o *observed) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	return observeCall(ctx, o, false, func() (Revision, error) { return o.Service.Commit(ctx, transaction) })
}
