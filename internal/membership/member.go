// Package membership registers an entry in the store under a lease and maintains the list of the
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

// Intervals and timeouts of the registration.
const (
	// LeaseTTL is the time from the last renewal of a registration to its expiry.
	LeaseTTL = 3 * time.Second
	// RenewInterval is the time between two renewals. After a failed renewal it leaves time for two more
	// attempts before the lease ends.
	RenewInterval = time.Second
	// RelistInterval is the time between two lists of the registrations. It is shorter than LeaseTTL, so
	// that a registration that the watch missed is listed before it can expire.
	RelistInterval = 2 * time.Second
	// callTimeout bounds one store call, so that a slow store does not delay the next renewal.
	callTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the release of the registration at a planned stop.
	releaseTimeout = time.Second
)

// UnknownEntry is returned by ExpiredWithin in place of entries whose names are not known.
const UnknownEntry = "*"

// Entry is the registration of one entry, as stored.
type Entry struct {
	wire.EntryAddress
	// Incarnation identifies the entry's process; it is a random value set when the process starts.
	Incarnation string `cbor:"4,keyasint"`
	Zone        string `cbor:"5,keyasint"`
}

// Config holds the dependencies of a Member.
type Config struct {
	Region string
	// Self is this entry. If its Incarnation is empty, New sets a random one.
	Self  Entry
	Store store.Store
	// Known returns the names of all entries that may run in the region, or nil if they are not
	// known. It is optional and is used only by ExpiredWithin.
	Known  func() []string
	Logger *log.Logger
}

// Member maintains the registration of this entry. Create it with New; it is safe for concurrent use.
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

// Run maintains the registration until the context ends, then releases it. It returns the context's error.
func (m *Member) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { m.watch(ctx) })
	group.Go(func() { m.relistPeriodically(ctx) })
	group.Go(func() { m.maintain(ctx) })
	group.Wait()
	m.release()
	return ctx.Err()
}

// Self returns this entry's registration, with its incarnation.
func (m *Member) Self() Entry { return m.config.Self }

// Backed reports whether the store confirmed this entry's registration within its TTL, measured from the
// time the confirming call was sent.
func (m *Member) Backed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registration.valid(time.Now())
}

// RegistrationCount returns how often this entry has registered. A change means that the registration had
// expired and that other entries may have claimed its shards.
func (m *Member) RegistrationCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registrations
}

// StoreReachable reports whether the store answered the last call.
func (m *Member) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable
}

// Entries returns the registered entries, sorted by name. It is empty until the registrations were listed
// for the first time.
func (m *Member) Entries() []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.entries()
}

// ExpiredWithin returns the names of the other entries whose registration ended within d. If this
// entry has not watched the registrations without a gap for d, it also returns all known entries that are
// not registered, or UnknownEntry if their names are not known.
func (m *Member) ExpiredWithin(d time.Duration) []string {
	var known []string
	if m.config.Known != nil {
		known = m.config.Known()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.expiredWithin(d, time.Now(), m.config.Self.Name, known)
}

// Subscribe returns a channel that is notified when Entries changes; notifications are coalesced.
func (m *Member) Subscribe() <-chan struct{} { return m.changes.Subscribe() }

// recordReachability records whether the store answered a call with the given error.
func (m *Member) recordReachability(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reachable = storeAnswered(err)
}
