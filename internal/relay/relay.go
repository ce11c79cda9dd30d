package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/backlog"
	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Config holds what a Relay depends on.
type Config struct {
	// Name is this entry's name. Address is where it accepts links.
	Name    string
	Address string
	// Strength is this entry's processor share, in processors. It is published in this entry's record.
	Strength float64
	// Backlog is the memory that this entry has for stored jobs as the coordinator. It is published as well.
	Backlog backlog.Limit
	// Token is the secret that the entries share. If it is not nil, Run reads it from the store.
	Token  *link.Token
	Store  store.Service
	Dialer link.Dialer
	Logger *log.Logger
}

// Relay is a store that makes its calls through another entry while this entry's own path is lost. Calls that
// grant or revoke leases and single-key writes always use the own path. It is safe for concurrent use.
type Relay struct {
	store.Service
	config    Config
	direct    *direct
	directory *directory
	callSlots chan struct{}
	// retired is set once Retire is called.
	retired atomic.Bool

	mu sync.Mutex
	// peer is the link to the entry that makes the relayed calls, or nil.
	peer *peer
	// pausedUntil is the time until which no calls are relayed.
	pausedUntil time.Time
}

// New returns a relay. Run registers this entry and finds the others.
func New(config Config) *Relay {
	health := &health{logger: config.Logger}
	own := &direct{Service: config.Store, health: health}
	return &Relay{
		Service: own, config: config, direct: own,
		directory: newDirectory(config.Address, config.Logger), callSlots: make(chan struct{}, maxCalls),
	}
}

// Direct returns the store on this entry's own path. Its calls are never relayed, but their results decide
// whether the own path counts as lost.
func (r *Relay) Direct() store.Service { return r.direct }

// Run keeps this entry's record in the store and watches those of the others until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { contain.RunWithRestart(ctx, r.config.Logger, "read token", r.loadToken) })
	group.Go(func() { contain.RunWithRestart(ctx, r.config.Logger, "register", r.register) })
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: r.config.Store, Prefix: recordPrefix, Wait: directoryWait, Logger: r.config.Logger,
		Handle: func(events []store.Event, _ time.Time) { r.directory.apply(events) },
	})
	group.Go(func() { contain.RunWithRestart(ctx, r.config.Logger, "follow entries", mirror.Run) })
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.peer != nil {
		r.peer.close()
	}
}

// Get implements store.Store.
func (r *Relay) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if reply, ok := r.relayCall(ctx, 0, &wire.StoreCall{Operation: wire.StoreGet, Key: key}); ok {
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
	if reply, ok := r.relayCall(ctx, 0, &wire.StoreCall{Operation: wire.StoreList, Key: prefix}); ok {
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
	if reply, ok := r.relayCall(ctx, wait, call); ok {
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
	if reply, ok := r.relayCall(ctx, 0, commitCall(transaction)); ok {
		return store.Revision(reply.Revision), replyError(reply)
	}
	return r.direct.Commit(ctx, transaction)
}

// RenewLease implements store.Store.
func (r *Relay) RenewLease(ctx context.Context, lease store.LeaseID) error {
	if reply, ok := r.relayCall(ctx, 0, &wire.StoreCall{Operation: wire.StoreRenew, Lease: uint64(lease)}); ok {
		return replyError(reply)
	}
	return r.direct.RenewLease(ctx, lease)
}

// relayCall makes a call through another entry if the own path is lost. ok is false if the caller must use the
// own path: it works, or no other entry gave a result and a commit was certainly not made.
func (r *Relay) relayCall(ctx context.Context, wait time.Duration, call *wire.StoreCall) (reply *wire.StoreReply, ok bool) {
	if !r.direct.health.pathLost() {
		return nil, false
	}
	for _, address := range r.candidateAddresses() {
		p, err := r.connectPeer(ctx, address)
		if err != nil {
			continue
		}
		relayedCalls.Inc()
		reply, err := p.sendCall(ctx, wait, call)
		if err == nil && reply.Outcome != wire.StoreNotApplied {
			return reply, true
		}
		relayFailures.Inc()
		r.dropPeer(p)
		if err != nil && !isUnsent(err) && call.Operation == wire.StoreCommit {
			return &wire.StoreReply{Outcome: wire.StoreOutcomeUnknown}, true
		}
	}
	r.pauseRelaying()
	return nil, false
}
