package kvstore

import (
	"context"
	"slices"
	"time"

	"clementineflow/internal/store"
)

// lease is one granted lease and the keys bound to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// GrantLease implements store.Store.
func (m *Memory) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLease++
	m.leases[m.lastLease] = &lease{
		ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{}),
		timer: time.AfterFunc(ttl, m.expire),
	}
	return m.lastLease, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expireLocked(now)
	held, ok := m.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	held.expires = now.Add(held.ttl)
	held.timer.Reset(held.ttl)
	return nil
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked(time.Now())
	if _, ok := m.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	m.endLeaseLocked(id)
	return nil
}

// expire is called when a lease may have run out.
func (m *Memory) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLocked(time.Now())
}

// expireLocked ends the leases that have run out. Each call does this first, so that no call sees a
// lease that is past its end and whose timer has not run yet.
func (m *Memory) expireLocked(now time.Time) {
	for id, held := range m.leases {
		if !now.Before(held.expires) {
			m.endLeaseLocked(id)
		}
	}
}

func (m *Memory) endLeaseLocked(id store.LeaseID) {
	held := m.leases[id]
	held.timer.Stop()
	keys := make([]string, 0, len(held.keys))
	for key := range held.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		m.deleteLocked(key)
	}
	delete(m.leases, id)
}

// bindLocked moves a key from one lease to another; zero means no lease.
func (m *Memory) bindLocked(key string, from, to store.LeaseID) error {
	next, ok := m.leases[to]
	if to != 0 && !ok {
		return store.ErrLeaseNotFound
	}
	if previous, bound := m.leases[from]; bound {
		delete(previous.keys, key)
	}
	if ok {
		next.keys[key] = struct{}{}
	}
	return nil
}
