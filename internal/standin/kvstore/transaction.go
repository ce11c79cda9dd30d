package kvstore

import (
	"bytes"
	"context"
	"time"

	"clementineflow/internal/store"
)

// Commit implements store.Transactor.
func (m *Memory) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	for _, write := range transaction.Writes {
		if len(write.Value) > store.MaxValueBytes {
			return 0, store.ErrValueTooLarge
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked(time.Now())
	if err := m.checkLocked(transaction); err != nil {
		return 0, err
	}
	m.revision++
	at := m.revision
	for _, write := range transaction.Writes {
		if err := m.bindLocked(write.Key, m.keys[write.Key].Lease, write.Lease); err != nil {
			return 0, err
		}
		next := store.KeyValue{Key: write.Key, Value: bytes.Clone(write.Value), Revision: at, Lease: write.Lease}
		m.keys[write.Key] = next
		m.publishLocked(store.Event{KeyValue: next})
	}
	for _, key := range transaction.Deletes {
		if _, ok := m.keys[key]; ok {
			m.deleteLocked(key)
		}
	}
	return at, nil
}

// checkLocked returns an error if a condition does not hold or a lease has expired.
func (m *Memory) checkLocked(transaction store.Transaction) error {
	failed := &store.ConditionError{}
	holds := true
	for _, condition := range transaction.Conditions {
		item, ok := m.keys[condition.Key]
		if ok {
			failed.Current = append(failed.Current, cloneKeyValue(item))
		}
		holds = holds && item.Revision == condition.Revision
	}
	if !holds {
		return failed
	}
	for _, write := range transaction.Writes {
		if _, ok := m.leases[write.Lease]; write.Lease != 0 && !ok {
			return store.ErrLeaseNotFound
		}
	}
	return nil
}

// Compact drops the whole history, so that watches and feeds from an earlier revision have a gap.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.events = nil
	m.history.dropped = m.revision
}

// ListAt implements store.Feed.
func (m *Memory) ListAt(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	m.mu.Lock()
	at := m.revision
	m.mu.Unlock()
	items, err := m.List(ctx, prefix)
	return items, at, err
}

// Changes implements store.Feed.
func (m *Memory) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	compacted := after < m.history.dropped
	at := m.revision
	m.mu.Unlock()
	if compacted {
		return store.Changes{}, store.ErrCompacted
	}
	opened, err := m.Watch(ctx, prefix, after)
	if err != nil {
		return store.Changes{}, err
	}
	defer opened.Close()
	event, err := opened.Next(ctx)
	if err != nil {
		return store.Changes{At: max(at, after)}, nil
	}
	changes := store.Changes{Events: []store.Event{event}, At: event.Revision}
	for {
		next, ok, _ := opened.(*watcher).pop()
		if !ok {
			return changes, nil
		}
		changes.Events = append(changes.Events, next)
		changes.At = max(changes.At, next.Revision)
	}
}
