package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// registration is the state of the own registration.
type registration struct {
	lease store.LeaseID
	// revision is the store revision of the own key; zero while it is not known to exist.
	revision store.Revision
	// confirmed is when the last call that extended the lease was sent.
	confirmed time.Time
}

// backed reports whether the key exists and its lease cannot have run out by now.
func (r registration) backed(now time.Time) bool {
	return r.revision != 0 && now.Sub(r.confirmed) < LeaseTTL
}

// reached reports whether an error is an answer of the store.
func reached(err error) bool {
	return !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// renew registers the entry and then renews its lease every RenewInterval.
func (m *Member) renew(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		m.keep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// keep makes one attempt to extend the registration, and to create it if there is none.
func (m *Member) keep(ctx context.Context) {
	current := m.current()
	if current.lease != 0 {
		current = m.extend(ctx, current)
	}
	if current.lease == 0 {
		current = m.grant(ctx)
	}
	if current.lease != 0 && current.revision == 0 {
		m.register(ctx, current)
	}
}

func (m *Member) current() registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registration
}

func (m *Member) set(next registration) registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registration = next
	return next
}

func (m *Member) extend(ctx context.Context, current registration) registration {
	sent := time.Now()
	err := m.call(ctx, func(ctx context.Context) error {
		return m.config.Store.RenewLease(ctx, current.lease)
	})
	if errors.Is(err, store.ErrLeaseNotFound) {
		m.config.Logger.Warn("registration expired; registering again", "entry", m.config.Self.Name)
		return m.set(registration{})
	}
	if err != nil {
		return current
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The watch may have found the key gone in the meantime; only the time is changed here.
	m.registration.confirmed = sent
	return m.registration
}

func (m *Member) grant(ctx context.Context) registration {
	sent := time.Now()
	var lease store.LeaseID
	err := m.call(ctx, func(ctx context.Context) (err error) {
		lease, err = m.config.Store.GrantLease(ctx, LeaseTTL)
		return err
	})
	if err != nil {
		return m.current()
	}
	return m.set(registration{lease: lease, confirmed: sent})
}

// register writes the own key. It never replaces the key of another incarnation: until that lease
// has expired, its holder may have acknowledged workers as a backed entry.
func (m *Member) register(ctx context.Context, current registration) {
	value, err := wire.Marshal(&m.config.Self)
	if err != nil {
		m.config.Logger.Error("cannot encode the registration", "error", err)
		return
	}
	expected, ok := m.expected(ctx)
	if !ok {
		return
	}
	var revision store.Revision
	err = m.call(ctx, func(ctx context.Context) (err error) {
		revision, err = m.config.Store.CompareAndSwap(ctx, m.key(), expected, value, current.lease)
		return err
	})
	switch {
	case err == nil:
		m.registered(current, revision, value)
	case errors.Is(err, store.ErrLeaseNotFound):
		m.set(registration{})
	default:
		// After a lost answer the next attempt reads the key and finds its own incarnation.
		m.config.Logger.Warn("registration failed", "entry", m.config.Self.Name, "error", err)
	}
}

// expected returns the revision that the own key may be written at.
func (m *Member) expected(ctx context.Context) (store.Revision, bool) {
	var found store.KeyValue
	err := m.call(ctx, func(ctx context.Context) (err error) {
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
	m.config.Logger.Warn("the name is registered by another incarnation; waiting for its lease to end",
		"entry", m.config.Self.Name, "incarnation", holder.Incarnation)
	return 0, false
}

func (m *Member) registered(current registration, revision store.Revision, value []byte) {
	m.mu.Lock()
	current.revision = revision
	m.registration = current
	m.registrations++
	m.roster.put(store.KeyValue{Key: m.key(), Value: value, Revision: revision}, m.config.Self, time.Now())
	m.mu.Unlock()
	m.changes.Notify()
	m.config.Logger.Info("entry registered", "entry", m.config.Self.Name, "incarnation", m.config.Self.Incarnation)
}

// release ends the registration on a planned stop, so that its shards can be claimed at once.
func (m *Member) release() {
	current := m.current()
	m.set(registration{})
	if current.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.config.Store.RevokeLease(ctx, current.lease); err != nil {
		m.config.Logger.Warn("registration was not released; it ends with its lease", "error", err)
	}
}

// call runs one store call with a timeout and records whether it reached the store.
func (m *Member) call(ctx context.Context, run func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := run(bounded)
	if ctx.Err() == nil {
		m.observe(err)
	}
	return err
}
