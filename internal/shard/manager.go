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

// Members is the part of membership.Member that the manager uses.
type Members interface {
	// Self returns this entry with its incarnation.
	Self() membership.Entry
	Backed() bool
	// Registrations counts this entry's registrations; a change means that the former one lapsed.
	Registrations() uint64
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

// Manager claims, releases and commits the shards of a region. It is safe for concurrent use.
type Manager struct {
	config  Config
	self    membership.Entry
	shards  [Count]*Shard
	changes notify.Broadcaster

	mu sync.Mutex
	// owners holds the owner of each shard as last read from the store.
	owners [Count]string
}

// NewManager returns a Manager that owns no shard yet; Run claims them.
func NewManager(config Config) *Manager {
	m := &Manager{config: config, self: config.Members.Self()}
	for id := range m.shards {
		m.shards[id] = newShard(uint16(id), m)
	}
	return m
}

// Run claims, releases and commits shards until the context ends; then it commits what waits and
// releases its shards. The entry's registration must outlive Run.
func (m *Manager) Run(ctx context.Context) error {
	// Subscribes before the shards look at the entries, so that no change is missed in between.
	changes := m.config.Members.Subscribe()
	var group conc.WaitGroup
	for _, shard := range m.shards {
		group.Go(func() { shard.run(ctx) })
	}
	group.Go(func() { m.follow(ctx, changes) })
	group.Wait()
	return ctx.Err()
}

// follow wakes every shard when the list of entries changes.
func (m *Manager) follow(ctx context.Context, changes <-chan struct{}) {
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

// Owned returns the shards that this entry owns, by id.
func (m *Manager) Owned() []*Shard {
	var owned []*Shard
	for _, shard := range m.shards {
		if shard.isOwned() {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Shard returns the shard if this entry owns it.
func (m *Manager) Shard(id uint16) (*Shard, bool) {
	if id >= Count || !m.shards[id].isOwned() {
		return nil, false
	}
	return m.shards[id], true
}

// Owner returns the entry that owns the shard as far as this entry knows. For shards that it does
// not own this is the intended owner, on which ownership settles within about a second of a change;
// shards are not watched, since a watch would carry every commit to every entry.
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
	owner := m.owners[id]
	return owner, owner != "" && owner != m.self.Name
}

// Read returns the shard's document from the store, an empty one if the shard was never claimed, or
// ErrUnavailable.
func (m *Manager) Read(ctx context.Context, id uint16) (*Document, error) {
	document, _, err := m.read(ctx, id)
	return document, err
}

// Subscribe returns a channel of coalesced notifications about gained and lost shards.
func (m *Manager) Subscribe() <-chan struct{} { return m.changes.Subscribe() }

func (m *Manager) read(ctx context.Context, id uint16) (*Document, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	m.owners[id] = document.Owner
	return document, value.Revision, nil
}

// write stores the encoded document at the expected revision.
func (m *Manager) write(ctx context.Context, id uint16, expected store.Revision, data []byte) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.config.Store.CompareAndSwap(ctx, Key(m.config.Region, id), expected, data, 0)
}
