// Package kvstore is a stand-in for the platform's key-value service: an in-memory store.Store, a
// wrapper that injects faults, and a gRPC server. It is for tests and the demo only.
package kvstore

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"clementineflow/internal/store"
)

// Memory is an in-memory store.Store that injects no faults. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	revision  store.Revision
	keys      map[string]store.KeyValue
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	watchers  map[*watcher]struct{}
	history   history
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		keys:     make(map[string]store.KeyValue),
		leases:   make(map[store.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
	}
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
	value, ok := m.keys[key]
	if !ok {
		return store.KeyValue{}, store.ErrNotFound
	}
	return cloneKeyValue(value), nil
}

// List implements store.Store.
func (m *Memory) List(_ context.Context, prefix string) ([]store.KeyValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
	var values []store.KeyValue
	for key, value := range m.keys {
		if strings.HasPrefix(key, prefix) {
			values = append(values, cloneKeyValue(value))
		}
	}
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	return values, nil
}

// CompareAndSwap implements store.Store.
func (m *Memory) CompareAndSwap(
	_ context.Context, key string, expected store.Revision, value []byte, id store.LeaseID,
) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrValueTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
	current := m.keys[key]
	if current.Revision != expected {
		return 0, &store.ConflictError{Key: key, Current: current.Revision}
	}
	if err := m.bindKeyLocked(key, current.Lease, id); err != nil {
		return 0, err
	}
	m.revision++
	next := store.KeyValue{Key: key, Value: bytes.Clone(value), Revision: m.revision, Lease: id}
	m.keys[key] = next
	m.publishLocked(store.Event{KeyValue: next})
	return m.revision, nil
}

// Delete implements store.Store.
func (m *Memory) Delete(_ context.Context, key string, expected store.Revision) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
	current := m.keys[key]
	if current.Revision != expected {
		return &store.ConflictError{Key: key, Current: current.Revision}
	}
	if expected != 0 {
		m.deleteLocked(key)
	}
	return nil
}

// deleteLocked removes an existing key and publishes the deletion under a new revision.
func (m *Memory) deleteLocked(key string) {
	if granted, ok := m.leases[m.keys[key].Lease]; ok {
		delete(granted.keys, key)
	}
	delete(m.keys, key)
	m.revision++
	m.publishLocked(store.Event{
		KeyValue: store.KeyValue{Key: key, Revision: m.revision}, Deleted: true,
	})
}

func cloneKeyValue(value store.KeyValue) store.KeyValue {
	value.Value = bytes.Clone(value.Value)
	return value
}
