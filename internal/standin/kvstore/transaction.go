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
	m.expireLeasesLocked(time.Now())
	if err := m.checkTransactionLocked(transaction); err != nil {
		return 0, err
	}
	m.revision++
	revision := m.revision
	for _, write := range transaction.Writes {
		if err := m.bindKeyLocked(write.Key, m.keys[write.Key].Lease, write.Lease); err != nil {
			return 0, err
		}
		next := store.KeyValue{Key: write.Key, Value: bytes.Clone(write.Value), Revision: revision, Lease: write.Lease}
		m.keys[write.Key] = next
		m.publishLocked(store.Event{KeyValue: next})
	}
	for _, key := range transaction.Deletes {
		if _, ok := m.keys[key]; ok {
			m.deleteLocked(key)
		}
	}
	return revision, nil
}

// checkTransactionLocked returns an error if a condition does not hold or a lease does not exist.
func (m *Memory) checkTransactionLocked(transaction store.Transaction) error {
	conditionErr := &store.ConditionError{}
	holds := true
	for _, condition := range transaction.Conditions {
		item, ok := m.keys[condition.Key]
		if ok {
			conditionErr.Current = append(conditionErr.Current, cloneKeyValue(item))
		}
		holds = holds && item.Revision == condition.Revision
	}
	if !holds {
		return conditionErr
	}
	for _, write := range transaction.Writes {
		if _, ok := m.leases[write.Lease]; write.Lease != 0 && !ok {
			return store.ErrLeaseNotFound
		}
	}
	return nil
}

// Compact drops the whole event history. Changes from an earlier revision then returns
// store.ErrCompacted, and a new watch from an earlier revision starts with the current values of the
// changed keys.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.events = nil
	m.history.compactedRevision = m.revision
}

// ListAt implements store.Feed.
func (m *Memory) ListAt(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	m.mu.Lock()
	revision := m.revision
	m.mu.Unlock()
	items, err := m.List(ctx, prefix)
	return items, revision, err
}

// Changes implements store.Feed.
func (m *Memory) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	compacted := after < m.history.compactedRevision
	revision := m.revision
	m.mu.Unlock()
	if compacted {
		return store.Changes{}, store.ErrCompacted
	}
	watch, err := m.Watch(ctx, prefix, after)
	if err != nil {
		return store.Changes{}, err
	}
	defer watch.Close()
	event, err := watch.Next(ctx)
	if err != nil {
		return store.Changes{At: max(revision, after)}, nil
	}
	changes := store.Changes{Events: []store.Event{event}, At: event.Revision}
	for {
		next, ok, _ := watch.(*watcher).pop()
		if !ok {
			return changes, nil
		}
		changes.Events = append(changes.Events, next)
		changes.At = max(changes.At, next.Revision)
	}
}
