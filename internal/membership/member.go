// Package membership registers an entry in the store under a lease and keeps the list of the
// region's registered entries.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/notify"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Times of the registration.
const (
	// LeaseTTL is how long a registration lives after its last renewal.
	LeaseTTL = 3 * time.Second
	// RenewInterval leaves two more attempts before the lease ends.
	RenewInterval = time.Second
	// RelistInterval is shorter than LeaseTTL, so that a registration that the watch missed is seen
	// before it can expire again.
	RelistInterval = 2 * time.Second
	// callTimeout bounds one store call, so that a slow store does not delay the next renewal.
	callTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the release of the registration on a planned stop.
	releaseTimeout = time.Second
)

// UnknownEntry stands in ExpiredWithin for entries whose names are not known.
const UnknownEntry = "*"

// Entry is one registered entry.
type Entry struct {
	wire.EntryAddress
	// Incarnation is drawn at random when the entry's process starts.
	Incarnation string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
}

// Config holds the dependencies of a Member.
type Config struct {
	Region string
	// Self is this entry; an empty Incarnation is drawn at random.
	Self  Entry
	Store store.Store
	// Known returns the names of all entries that may run in the region, or nil if they are not
	// known. It is optional and is used only by ExpiredWithin.
	Known  func() []string
	Logger *log.Logger
}

// Member keeps this entry registered. Create it with New; it is safe for concurrent use.
type Member struct {
	config  Config
	prefix  string
	changes notify.Broadcaster

	mu            sync.Mutex
	registration  registration
	roster        *roster
	reachable     bool
	registrations uint64
}

// New returns a Member that is not registered yet; Run registers it.
func New(config Config) *Member {
	if config.Self.Incarnation == "" {
		config.Self.Incarnation = uuid.NewString()
	}
	return &Member{config: config, prefix: Prefix(config.Region), roster: newRoster()}
}

// Prefix returns the prefix of the region's registrations in the store.
func Prefix(region string) string { return "clementine/" + region + "/entries/" }

func (m *Member) key() string { return m.prefix + m.config.Self.Name }

// Run keeps the entry registered until the context ends, then releases the registration.
func (m *Member) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { m.relist(ctx) })
	group.Go(func() { m.renew(ctx) })
	group.Wait()
	m.release()
	return ctx.Err()
}

// Self returns this entry's registration, with its incarnation.
func (m *Member) Self() Entry { return m.config.Self }

// Backed reports whether the own registration was confirmed within its TTL, measured from the send
// time of the confirming call.
func (m *Member) Backed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registration.backed(time.Now())
}

// Registrations counts how often this entry registered. A change means that the registration had
// lapsed and that other entries may have claimed its shards.
func (m *Member) Registrations() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registrations
}

// StoreReachable reports whether the last store call succeeded.
func (m *Member) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable
}

// Entries returns the registered entries, sorted by name; it is empty before the first list.
func (m *Member) Entries() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.list()
}

// ExpiredWithin returns the names of the other entries whose registration ended within d. If this
// entry has not watched for d, it returns all known entries that are not registered, or UnknownEntry
// if their names are not known.
func (m *Member) ExpiredWithin(d time.Duration) []string {
	var known []string
	if m.config.Known != nil {
		known = m.config.Known()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.expiredWithin(d, time.Now(), m.config.Self.Name, known)
}

// Subscribe returns a channel of coalesced notifications about changes of Entries.
func (m *Member) Subscribe() <-chan struct{} { return m.changes.Subscribe() }

// observe records whether a store call reached the store.
func (m *Member) observe(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reachable = reached(err)
}
