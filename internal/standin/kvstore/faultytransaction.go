package kvstore

import (
	"context"
	"slices"
	"time"

	"clementineflow/internal/store"
)

// transactional is a store with transactions and feeds, as the one behind a Faulty must be if they are
// used.
type transactional interface {
	store.Transactor
	store.Feed
}

// Commit implements store.Transactor.
func (f *Faulty) Commit(ctx context.Context, transaction store.Transaction) (store.Revision, error) {
	result := make(chan store.Revision, 1)
	err := f.write(ctx, &f.counters.CompareAndSwap, func() error {
		revision, err := f.inner.(transactional).Commit(context.WithoutCancel(ctx), transaction)
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
		items, at, err = f.inner.(transactional).ListAt(ctx, prefix)
		return err
	})
	return items, at, err
}

// Changes implements store.Feed.
func (f *Faulty) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (changes store.Changes, err error) {
	err = f.read(ctx, &f.counters.Watch, func() (err error) {
		changes, err = f.inner.(transactional).Changes(ctx, prefix, after, wait)
		return err
	})
	if err == nil && f.Faults().Down {
		// The store went down while the call waited.
		return store.Changes{}, store.ErrUnavailable
	}
	heard := slices.DeleteFunc(slices.Clone(changes.Events), func(store.Event) bool { return f.misses() })
	if len(heard) == 0 && len(changes.Events) > 0 {
		// A watch that missed all events goes on waiting.
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	changes.Events = heard
	return changes, err
}

// misses reports whether a watch leaves out an event.
func (f *Faulty) misses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chanceLocked(f.faults.MissEventPercent)
}
