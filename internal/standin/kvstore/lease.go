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
		timer: time.AfterFunc(ttl, m.expireLeases),
	}
	return m.lastLease, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expireLeasesLocked(now)
	granted, ok := m.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	granted.expires = now.Add(granted.ttl)
	granted.timer.Reset(granted.ttl)
	return nil
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
	if _, ok := m.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	m.removeLeaseLocked(id)
	return nil
}

// expireLeases is the callback of the lease timers.
func (m *Memory) expireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeasesLocked(time.Now())
}

// expireLeasesLocked removes the leases whose TTL has passed. Store calls that depend on leases run it
// first, so that they never use an expired lease whose timer has not fired yet.
func (m *Memory) expireLeasesLocked(now time.Time) {
	for id, granted := range m.leases {
		if !now.Before(granted.expires) {
			m.removeLeaseLocked(id)
		}
	}
}

func (m *Memory) removeLeaseLocked(id store.LeaseID) {
	granted := m.leases[id]
	granted.timer.Stop()
	keys := make([]string, 0, len(granted.keys))
	for key := range granted.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		m.deleteLocked(key)
	}
	delete(m.leases, id)
}

// bindKeyLocked moves a key from one lease to another; zero means no lease. It returns
// store.ErrLeaseNotFound if the new lease does not exist.
func (m *Memory) bindKeyLocked(key string, from, to store.LeaseID) error {
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
