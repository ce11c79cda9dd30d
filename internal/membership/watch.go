package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// errInvalidRegistration reports a registration that no entry writes: it lacks a name or an incarnation, or is stored
// under the key of another name.
var errInvalidRegistration = errors.New("membership: invalid registration")

// watch applies the store's events about registrations until the context ends.
func (m *Member) watch(ctx context.Context) {
	store.Follow(ctx, m.config.Store, m.prefix, m.highestRevision, m.applyEvent)
}

// highestRevision returns the highest known revision, from which a new watch continues.
func (m *Member) highestRevision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	var highest store.Revision
	for _, known := range m.roster.members {
		highest = max(highest, known.revision)
	}
	return highest
}

func (m *Member) applyEvent(event store.Event) {
	if event.Deleted {
		m.mu.Lock()
		changed := m.roster.remove(event.Key, event.Revision, time.Now())
		m.invalidateOwnLocked(event.Key, event.Revision)
		m.mu.Unlock()
		m.notifyIfChanged(changed)
		return
	}
	m.notifyIfChanged(m.applyPut(event.KeyValue))
}

// applyPut applies a registration from a list or a watch and reports whether the roster changed. A registration that no
// entry writes is skipped.
func (m *Member) applyPut(value store.KeyValue) bool {
	entry, err := wire.Unmarshal[Entry](value.Value)
	if err == nil && (entry.Name == "" || entry.Incarnation == "" || value.Key != m.prefix+entry.Name) {
		err = errInvalidRegistration
	}
	if err != nil {
		store.ReportMalformed(m.config.Logger, "registrations", value.Key, err)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.invalidateOwnLocked(value.Key, value.Revision)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry.Incarnation != m.config.Self.Incarnation {
		m.invalidateOwnLocked(value.Key, value.Revision)
	}
	return m.roster.put(value, *entry, time.Now())
}

// invalidateOwnLocked records that this entry's key was deleted or replaced, although its lease may still
// be renewed. The next renewal registers again.
func (m *Member) invalidateOwnLocked(key string, revision store.Revision) {
	if key == m.key() && m.registration.revision != 0 && revision > m.registration.revision {
		m.registration.revision = 0
	}
}

func (m *Member) notifyIfChanged(changed bool) {
	if changed {
		m.changes.Notify()
	}
}

// relistPeriodically lists the registrations every RelistInterval, since a watch can miss events.
func (m *Member) relistPeriodically(ctx context.Context) {
	ticker := time.NewTicker(RelistInterval)
	defer ticker.Stop()
	for {
		m.listRegistrations(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Member) listRegistrations(ctx context.Context) {
	m.mu.Lock()
	before := m.roster.changes
	first := m.roster.listed.IsZero()
	own := m.registration
	m.mu.Unlock()
	sent := time.Now()
	var values []store.KeyValue
	err := m.callStore(ctx, func(ctx context.Context) (err error) {
		values, err = m.config.Store.List(ctx, m.prefix)
		return err
	})
	if err != nil {
		return
	}
	changed := first
	present := make(map[string]bool, len(values))
	for _, value := range values {
		present[value.Key] = true
		changed = m.applyPut(value) || changed
	}
	m.mu.Lock()
	changed = m.roster.finishList(present, before, sent, time.Now()) || changed
	if !present[m.key()] && m.registration == own {
		m.registration.revision = 0
	}
	m.mu.Unlock()
	m.notifyIfChanged(changed)
}
