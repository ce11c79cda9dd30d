package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Config holds what a Relay depends on.
type Config struct {
	// Name is this entry's name and Address the address of its links.
	Name    string
	Address string
	// Strength is this entry's share of a processor; the others learn it from its record.
	Strength float64
	Store    store.Service
	Dialer   link.Dialer
	Logger   *log.Logger
}

// Relay is a store whose calls go through another entry while this entry's own path is cut. Calls that
// open or end leases and single-key writes always take the own path. It is safe for concurrent use.
type Relay struct {
	store.Service
	config    Config
	direct    *direct
	directory *directory
	slots     chan struct{}
	// retired is set once this entry is about to stop.
	retired atomic.Bool

	mu sync.Mutex
	// peer is the link to the entry that makes the calls, or nil.
	peer *peer
	// restUntil is until when no entry is asked.
	restUntil time.Time
}

// New returns a relay; Run keeps this entry known to the others.
func New(config Config) *Relay {
	health := &health{logger: config.Logger}
	own := &direct{Service: config.Store, health: health}
	return &Relay{
		Service: own, config: config, direct: own,
		directory: newDirectory(config.Address), slots: make(chan struct{}, maxCalls),
	}
}

// Direct returns the store without the detour, which notes whether this entry's own path works.
func (r *Relay) Direct() store.Service { return r.direct }

// Run keeps this entry's record and follows those of the others until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { contain.Duty(ctx, r.config.Logger, "register", r.register) })
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: r.config.Store, Prefix: recordPrefix, Wait: directoryWait, Logger: r.config.Logger,
		Handle: func(events []store.Event, _ time.Time) { r.directory.apply(events) },
	})
	group.Go(func() { contain.Duty(ctx, r.config.Logger, "follow entries", mirror.Run) })
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peer != nil {
		r.peer.close()
	}
}

// Get implements store.Store.
func (r *Relay) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if reply, ok := r.detour(ctx, 0, &wire.StoreCall{Operation: wire.StoreGet, Key: key}); ok {
		if err := replyError(reply); err != nil || len(reply.Items) == 0 {
			return store.KeyValue{}, err
		}
		return keyValue(&reply.Items[0]), nil
	}
	return r.direct.Get(ctx, key)
}

// List implements store.Store.
func (r *Relay) List(ctx context.Context, prefix string) ([]store.KeyValue, error) {
	items, _, err := r.ListAt(ctx, prefix)
	return items, err
}

// ListAt implements store.Feed.
func (r *Relay) ListAt(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	if reply, ok := r.detour(ctx, 0, &wire.StoreCall{Operation: wire.StoreList, Key: prefix}); ok {
		items := make([]store.KeyValue, 0, len(reply.Items))
		for i := range reply.Items {
			items = append(items, keyValue(&reply.Items[i]))
		}
		return items, store.Revision(reply.Revision), replyError(reply)
	}
	return r.direct.ListAt(ctx, prefix)
}

// Changes implements store.Feed.
func (r *Relay) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	call := &wire.StoreCall{
		Operation: wire.StoreChanges, Key: prefix, After: uint64(after), WaitMillis: wait.Milliseconds(),
	}
	if reply, ok := r.detour(ctx, wait, call); ok {
		changes := store.Changes{At: store.Revision(reply.Revision)}
		for i := range reply.Items {
			changes.Events = append(changes.Events, store.Event{KeyValue: keyValue(&reply.Items[i]), Deleted: reply.Items[i].Deleted})
		}
		return changes, replyError(reply)
	}
	return r.direct.Changes(ctx, prefix, after, wait)
}

// Commit implements store.Transactor.
func (r *Relay) Commit(ctx context.Context, transaction store.Transaction) (store.Revision, error) {
	if reply, ok := r.detour(ctx, 0, commitCall(transaction)); ok {
		return store.Revision(reply.Revision), replyError(reply)
	}
	return r.direct.Commit(ctx, transaction)
}

// RenewLease implements store.Store.
func (r *Relay) RenewLease(ctx context.Context, lease store.LeaseID) error {
	if reply, ok := r.detour(ctx, 0, &wire.StoreCall{Operation: wire.StoreRenew, Lease: uint64(lease)}); ok {
		return replyError(reply)
	}
	return r.direct.RenewLease(ctx, lease)
}

// detour makes a call through another entry if the own path is cut. ok is false if the own path has to
// be used: it works, or no other entry has an answer and the call certainly had no effect.
func (r *Relay) detour(ctx context.Context, wait time.Duration, call *wire.StoreCall) (reply *wire.StoreReply, ok bool) {
	if !r.direct.health.away() {
		return nil, false
	}
	for _, address := range r.candidates() {
		p, err := r.peerAt(ctx, address)
		if err != nil {
			continue
		}
		relayedCalls.Inc()
		reply, err := p.ask(ctx, wait, call)
		if err == nil && reply.Outcome != wire.StoreNotDone {
			return reply, true
		}
		relayFailures.Inc()
		r.drop(p)
		if err != nil && !errNotSent(err) && call.Operation == wire.StoreCommit {
			return &wire.StoreReply{Outcome: wire.StoreUnknown}, true
		}
	}
	r.rest()
	return nil, false
}
