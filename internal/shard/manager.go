package shard

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/membership"
	"clementineflow/internal/notify"
	"clementineflow/internal/store"
)

// Members provides this entry's registration and the list of entries; membership.Member implements it.
type Members interface {
	// Self returns this entry with its incarnation.
	Self() membership.Entry
	// Backed reports whether this entry's registration was confirmed within the TTL of its lease.
	Backed() bool
	// RegistrationCount returns the number of times this entry has registered. If it changes, the former
	// registration has lapsed.
	RegistrationCount() uint64
	Entries() []membership.Entry
	Subscribe() <-chan struct{}
}

// Config holds the dependencies of a Manager.
type Config struct {
	Region  string
	Store   store.Store
	Members Members
	Logger  *log.Logger
}

// Manager claims and releases the shards of a region and commits changes to them. It is safe for
// concurrent use.
type Manager struct {
	config  Config
	self    membership.Entry
	shards  [Count]*Shard
	changes notify.Broadcaster

	mu sync.Mutex
	// lastReadOwners holds the owner of each shard as last read from the store.
	lastReadOwners [Count]string
}

// NewManager returns a Manager that owns no shard yet; Run claims them.
func NewManager(config Config) *Manager {
	m := &Manager{config: config, self: config.Members.Self()}
	for id := range m.shards {
		m.shards[id] = newShard(uint16(id), m)
	}
	return m
}

// Run claims, releases and commits shards until the context ends; then it commits the queued proposals,
// releases its shards and returns the context's error. The entry must stay registered until Run returns.
func (m *Manager) Run(ctx context.Context) error {
	// Subscribes before the shards first read the list of entries, so that no change is missed.
	changes := m.config.Members.Subscribe()
	var group conc.WaitGroup
	for _, shard := range m.shards {
		group.Go(func() { shard.run(ctx) })
	}
	group.Go(func() { m.wakeOnEntryChange(ctx, changes) })
	group.Wait()
	return ctx.Err()
}

// wakeOnEntryChange wakes every shard when the list of entries changes, until the context ends.
func (m *Manager) wakeOnEntryChange(ctx context.Context, changes <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		}
		for _, shard := range m.shards {
			shard.signal()
		}
	}
}

// Owned returns the shards that this entry owns, in order of their IDs.
func (m *Manager) Owned() []*Shard {
	var owned []*Shard
	for _, shard := range m.shards {
		if shard.isOwned() {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Shard returns the shard and true if this entry owns it, or nil and false.
func (m *Manager) Shard(id uint16) (*Shard, bool) {
	if id >= Count || !m.shards[id].isOwned() {
		return nil, false
	}
	return m.shards[id], true
}

// Owner returns the name of the entry that probably owns the shard. For a shard that this entry does
// not own it is the intended owner, which usually becomes the owner within about a second of a change
// of the entries. If this entry is itself the intended owner, or none is known, it is the owner last
// read from the store. Shards are not watched, because a watch would send every commit to every entry.
func (m *Manager) Owner(id uint16) (string, bool) {
	if id >= Count {
		return "", false
	}
	if m.shards[id].isOwned() {
		return m.self.Name, true
	}
	if intended := intendedOwner(id, m.config.Members.Entries()); intended != "" && intended != m.self.Name {
		return intended, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := m.lastReadOwners[id]
	return owner, owner != "" && owner != m.self.Name
}

// Read returns the shard's document from the store, or an empty document if the shard was never
// claimed. It returns ErrUnavailable if the store call fails and wire.ErrMalformed if the stored value
// is not a valid document.
func (m *Manager) Read(ctx context.Context, id uint16) (*Document, error) {
	document, _, err := m.readDocument(ctx, id)
	return document, err
}

// Subscribe returns a channel that is notified when this entry starts or stops owning a shard.
// Notifications are coalesced.
func (m *Manager) Subscribe() <-chan struct{} { return m.changes.Subscribe() }

func (m *Manager) readDocument(ctx context.Context, id uint16) (*Document, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	value, err := m.config.Store.Get(ctx, Key(m.config.Region, id))
	if errors.Is(err, store.ErrNotFound) {
		return &Document{ID: id}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.WithMessage(ErrUnavailable, err.Error())
	}
	document, err := decodeDocument(value.Value)
	if err != nil {
		m.config.Logger.Error("malformed shard document", "shard", id, "error", err)
		return nil, 0, errors.WithMessage(err, "shard")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReadOwners[id] = document.Owner
	return document, value.Revision, nil
}

// writeDocument stores the encoded document if the store revision is the expected one, and returns the
// new revision.
func (m *Manager) writeDocument(ctx context.Context, id uint16, expected store.Revision, data []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return m.config.Store.CompareAndSwap(ctx, Key(m.config.Region, id), expected, data, 0)
}
