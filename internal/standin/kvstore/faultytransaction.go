package kvstore

import (
	"context"
	"slices"
	"time"

	"clementineflow/internal/store"
)

// transactionalStore is a store with transactions and feeds. The inner store of a Faulty must implement
// it if Commit, ListAt or Changes is called.
type transactionalStore interface {
	store.Transactor
	store.Feed
}

// Commit implements store.Transactor.
func (f *Faulty) Commit(ctx context.Context, transaction store.Transaction) (store.Revision, error) {
	result := make(chan store.Revision, 1)
	err := f.write(ctx, &f.counters.CompareAndSwap, func() error {
		revision, err := f.inner.(transactionalStore).Commit(context.WithoutCancel(ctx), transaction)
		result <- revision
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// ListAt implements store.Feed.
func (f *Faulty) ListAt(ctx context.Context, prefix string) (items []store.KeyValue, at store.Revision, err error) {
	err = f.read(ctx, &f.counters.List, func() (err error) {
		items, at, err = f.inner.(transactionalStore).ListAt(ctx, prefix)
		return err
	})
	return items, at, err
}

// Changes implements store.Feed.
func (f *Faulty) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (changes store.Changes, err error) {
	err = f.read(ctx, &f.counters.Watch, func() (err error) {
		changes, err = f.inner.(transactionalStore).Changes(ctx, prefix, after, wait)
		return err
	})
	if err == nil && f.Faults().Down {
		// The store went down while the call waited.
		return store.Changes{}, store.ErrUnavailable
	}
	delivered := slices.DeleteFunc(slices.Clone(changes.Events), func(store.Event) bool { return f.shouldDropEvent() })
	if len(delivered) == 0 && len(changes.Events) > 0 {
		// All events were dropped: wait as if none had occurred.
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	changes.Events = delivered
	return changes, err
}

// shouldDropEvent decides at random whether to drop an event, by MissEventPercent.
func (f *Faulty) shouldDropEvent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.randomChanceLocked(f.faults.MissEventPercent)
}
