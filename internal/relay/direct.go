package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// errNoReply is the cause logged when the store has not replied for suspectAfter.
var errNoReply = errors.New("relay: no reply from the store yet")

// direct makes all calls on this entry's own path to the store and records whether that path works.
type direct struct {
	store.Service
	health *health
}

// trackCall makes one call and records the path's health from its result. The path counts as lost as soon as the
// call takes suspectAfter longer than wait, the time that the call may block by design.
func trackCall[T any](d *direct, wait time.Duration, call func() (T, error)) (T, error) {
	timer := time.AfterFunc(wait+suspectAfter, func() { d.health.setLost(true, errNoReply) })
	result, err := call()
	timer.Stop()
	d.health.recordResult(err)
	return result, err
}

// Get implements store.Store.
func (d *direct) Get(ctx context.Context, key string) (store.KeyValue, error) {
	return trackCall(d, 0, func() (store.KeyValue, error) { return d.Service.Get(ctx, key) })
}

// listing is the result of ListAt.
type listing struct {
	items []store.KeyValue
	at    store.Revision
}

// ListAt implements store.Feed.
func (d *direct) ListAt(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	result, err := trackCall(d, suspectAfter, func() (listing, error) {
		items, at, err := d.Service.ListAt(ctx, prefix)
		return listing{items, at}, err
	})
	return result.items, result.at, err
}

// Changes implements store.Feed.
func (d *direct) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	return trackCall(d, wait, func() (store.Changes, error) { return d.Service.Changes(ctx, prefix, after, wait) })
}

// Commit implements store.Transactor.
func (d *direct) Commit(ctx context.Context, transaction store.Transaction) (store.Revision, error) {
	return trackCall(d, 0, func() (store.Revision, error) { return d.Service.Commit(ctx, transaction) })
}

// RenewLease implements store.Store.
func (d *direct) RenewLease(ctx context.Context, lease store.LeaseID) error {
	_, err := trackCall(d, 0, func() (struct{}, error) { return struct{}{}, d.Service.RenewLease(ctx, lease) })
	return err
}
