package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// registration is the state of this entry's registration.
type registration struct {
	lease store.LeaseID
	// revision is the store revision of this entry's key; zero while the key is not known to exist.
	revision store.Revision
	// confirmed is the time at which the last call that extended the lease was sent.
	confirmed time.Time
}

// valid reports whether the key exists and its lease cannot have expired by now.
func (r registration) valid(now time.Time) bool {
	return r.revision != 0 && now.Sub(r.confirmed) < LeaseTTL
}

// storeAnswered reports whether a call with this error was answered by the store.
func storeAnswered(err error) bool {
	return !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// maintain registers the entry and then renews its lease every RenewInterval.
func (m *Member) maintain(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		m.renewOrRegister(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renewOrRegister makes one attempt to renew the registration, or to create it if there is none.
func (m *Member) renewOrRegister(ctx context.Context) {
	current := m.currentRegistration()
	if current.lease != 0 {
		current = m.renewLease(ctx, current)
	}
	if current.lease == 0 {
		current = m.grantLease(ctx)
	}
	if current.lease != 0 && current.revision == 0 {
		m.register(ctx, current)
	}
}

func (m *Member) currentRegistration() registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registration
}

func (m *Member) setRegistration(next registration) registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registration = next
	return next
}

func (m *Member) renewLease(ctx context.Context, current registration) registration {
	sent := time.Now()
	err := m.callStore(ctx, func(ctx context.Context) error {
		return m.config.Store.RenewLease(ctx, current.lease)
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		m.config.Logger.Warn("registration expired; registering again", "entry", m.config.Self.Name)
		return m.setRegistration(registration{})
	}
	if err != nil {
		return current
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The watch may have found the key deleted in the meantime, so only the time is changed here.
	m.registration.confirmed = sent
	return m.registration
}

func (m *Member) grantLease(ctx context.Context) registration {
	sent := time.Now()
	var lease store.LeaseID
	err := m.callStore(ctx, func(ctx context.Context) (err error) {
		lease, err = m.config.Store.GrantLease(ctx, LeaseTTL)
		return err
	})
	if err != nil {
		return m.currentRegistration()
	}
	return m.setRegistration(registration{lease: lease, confirmed: sent})
}

// register writes this entry's key. It never replaces the key of another incarnation: until that
// incarnation's lease has expired, it may have acknowledged workers with a valid registration.
func (m *Member) register(ctx context.Context, current registration) {
	value, err := wire.Marshal(&m.config.Self)
	if err != nil {
		m.config.Logger.Error("failed to encode the registration", "error", err)
		return
	}
	expected, ok := m.expectedRevision(ctx)
	if !ok {
		return
	}
	var revision store.Revision
	err = m.callStore(ctx, func(ctx context.Context) (err error) {
		revision, err = m.config.Store.CompareAndSwap(ctx, m.key(), expected, value, current.lease)
		return err
	})
	switch {
	case err == nil:
		m.recordRegistered(current, revision, value)
	case errors.Is(err, store.ErrLeaseNotFound):
		m.setRegistration(registration{})
	default:
		// If only the reply was lost, the next attempt reads the key and finds its own incarnation.
		m.config.Logger.Warn("registration failed", "entry", m.config.Self.Name, "error", err)
	}
}

// expectedRevision returns the revision at which this entry's key may be replaced (zero if there is no key),
// and false if the key must not be written now.
func (m *Member) expectedRevision(ctx context.Context) (store.Revision, bool) {
	var found store.KeyValue
	err := m.callStore(ctx, func(ctx context.Context) (err error) {
		found, err = m.config.Store.Get(ctx, m.key())
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return 0, true
	}
	if err != nil {
		return 0, false
	}
	holder, err := wire.Unmarshal[Entry](found.Value)
	if err != nil || holder.Incarnation == m.config.Self.Incarnation {
		return found.Revision, true
	}
	m.config.Logger.Warn("entry name is registered by another incarnation; waiting for its lease to expire",
		"entry", m.config.Self.Name, "incarnation", holder.Incarnation)
	return 0, false
}

func (m *Member) recordRegistered(current registration, revision store.Revision, value []byte) {
	m.mu.Lock()
	current.revision = revision
	m.registration = current
	m.registrations++
	m.roster.put(store.KeyValue{Key: m.key(), Value: value, Revision: revision}, m.config.Self, time.Now())
	m.mu.Unlock()
	m.changes.Notify()
	m.config.Logger.Info("entry registered", "entry", m.config.Self.Name, "incarnation", m.config.Self.Incarnation)
}

// release ends the registration at a planned stop, so that other entries can claim its shards immediately.
func (m *Member) release() {
	current := m.currentRegistration()
	m.setRegistration(registration{})
	if current.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.config.Store.RevokeLease(ctx, current.lease); err != nil {
		m.config.Logger.Warn("failed to release the registration; it ends when its lease expires", "error", err)
	}
}

// callStore runs one store call with a timeout and records whether the store answered.
func (m *Member) callStore(ctx context.Context, run func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := run(bounded)
	if ctx.Err() == nil {
		m.recordReachability(err)
	}
	return err
}
