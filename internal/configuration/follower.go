package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/notify"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Intervals and timeouts of the follower.
const (
	// ConfirmInterval is the interval between confirming reads. A start permit lasts 3 s, so two more
	// reads can follow before it expires.
	ConfirmInterval = time.Second
	// callTimeout bounds one store call.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the delay before the outcome of an unanswered write is checked again.
	retryDelay = 50 * time.Millisecond
)

// Config holds the dependencies of a Follower.
type Config struct {
	Region string
	Store  store.Store
	Logger *log.Logger
}

// Follower tracks the region's document and holds the highest revision received so far. It is safe
// for concurrent use.
type Follower struct {
	config  Config
	key     string
	changes notify.Broadcaster

	mu            sync.Mutex
	document      *Document
	storeRevision store.Revision
	confirmedAt   time.Time
}

// NewFollower returns a Follower that has no document yet.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, key: Key(config.Region)}
}

// Key returns the store key of the region's document.
func Key(region string) string { return "clementine/" + region + "/configuration" }

// Run follows the document in the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { f.watchStore(ctx) })
	group.Go(func() { f.confirmPeriodically(ctx) })
	group.Wait()
	return ctx.Err()
}

// Document returns the document with the highest revision received so far, or nil if there is none.
// The document is shared and must not be modified.
func (f *Follower) Document() *Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// ConfirmationAge returns the time since the start of the last store read that confirmed that the
// document is current, or false if there was none.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(f.confirmedAt), true
}

// Observe passes in a document received from a peer or agent. Lower revisions and documents of other
// regions are ignored. The document must not be modified afterwards.
func (f *Follower) Observe(document *Document) {
	if document != nil && document.Region == f.config.Region {
		f.adoptIfNewer(document, 0)
	}
}

// Subscribe returns a channel of coalesced notifications about new revisions.
func (f *Follower) Subscribe() <-chan struct{} { return f.changes.Subscribe() }

// adoptIfNewer replaces the current document if the given one has a higher revision, or the same
// revision and a longer list of changes, since documents from agents lack that list. Subscribers are
// notified only of a higher revision.
func (f *Follower) adoptIfNewer(document *Document, revision store.Revision) {
	f.mu.Lock()
	f.storeRevision = max(f.storeRevision, revision)
	newer := f.document == nil || document.Revision > f.document.Revision
	moreComplete := !newer && document.Revision == f.document.Revision && len(document.Changes) > len(f.document.Changes)
	if newer || moreComplete {
		f.document = document
	}
	f.mu.Unlock()
	if newer {
		f.changes.Notify()
	}
}

// watchStore adopts changed documents from the events of a store watch.
func (f *Follower) watchStore(ctx context.Context) {
	store.Follow(ctx, f.config.Store, f.key, f.highestStoreRevision, f.handleEvent)
}

// highestStoreRevision returns the highest store revision received, after which a new watch begins.
func (f *Follower) highestStoreRevision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeRevision
}

// handleEvent adopts the document of a watch event.
func (f *Follower) handleEvent(event store.Event) {
	if event.Key != f.key || event.Deleted {
		return
	}
	if document, err := f.decodeDocument(event.KeyValue); err == nil {
		f.adoptIfNewer(document, event.Revision)
	}
}

// confirmPeriodically reads the document every ConfirmInterval, because a watch can miss events.
func (f *Follower) confirmPeriodically(ctx context.Context) {
	ticker := time.NewTicker(ConfirmInterval)
	defer ticker.Stop()
	for {
		f.confirmOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) confirmOnce(ctx context.Context) {
	startedAt := time.Now()
	document, revision, err := f.readDocument(ctx)
	if err != nil {
		return
	}
	f.adoptIfNewer(document, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	// If a newer revision was received during the read, the read does not confirm that revision.
	if f.document.Revision == document.Revision {
		f.confirmedAt = startedAt
	}
}

// readDocument reads the document from the store.
func (f *Follower) readDocument(ctx context.Context) (*Document, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := f.config.Store.Get(ctx, f.key)
	if err != nil {
		return nil, 0, err
	}
	document, err := f.decodeDocument(value)
	return document, value.Revision, err
}

func (f *Follower) decodeDocument(value store.KeyValue) (*Document, error) {
	document, err := wire.Unmarshal[Document](value.Value)
	if err != nil {
		f.config.Logger.Error("malformed configuration document", "key", value.Key, "error", err)
		return nil, errors.WithMessage(err, "configuration")
	}
	return document, nil
}
