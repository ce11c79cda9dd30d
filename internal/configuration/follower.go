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

// Times of the follower.
const (
	// ConfirmInterval leaves a start permit of 3 s two more reads before it ends.
	ConfirmInterval = time.Second
	// callTimeout bounds one store call.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the wait before an unanswered write is resolved again.
	retryDelay = 50 * time.Millisecond
)

// Config holds the dependencies of a Follower.
type Config struct {
	Region string
	Store  store.Store
	Logger *log.Logger
}

// Follower keeps the highest revision of the region's document that it has seen. It is safe for
// concurrent use.
type Follower struct {
	config  Config
	key     string
	changes notify.Broadcaster

	mu        sync.Mutex
	document  *Document
	revision  store.Revision
	confirmed time.Time
}

// NewFollower returns a Follower that knows no document yet.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, key: Key(config.Region)}
}

// Key returns the store key of the region's document.
func Key(region string) string { return "clementine/" + region + "/configuration" }

// Run follows the document in the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	var group conc.WaitGroup
	group.Go(func() { f.watch(ctx) })
	group.Go(func() { f.confirm(ctx) })
	group.Wait()
	return ctx.Err()
}

// Document returns the document of the highest revision seen, or nil if none is known. It is shared:
// callers do not change it.
func (f *Follower) Document() *Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// ConfirmationAge returns the time since the beginning of the last store read that confirmed the
// document as the current one; false if there was none.
func (f *Follower) ConfirmationAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		return 0, false
	}
	return time.Since(f.confirmed), true
}

// Observe takes a document from a peer or agent; lower revisions and other regions are ignored. The
// document must not be changed afterwards.
func (f *Follower) Observe(document *Document) {
	if document != nil && document.Region == f.config.Region {
		f.adopt(document, 0)
	}
}

// Subscribe returns a channel of coalesced notifications about new revisions.
func (f *Follower) Subscribe() <-chan struct{} { return f.changes.Subscribe() }

// adopt keeps the document if its revision is higher than the one known. The document of the known
// revision is replaced if it has more changes listed: agents hold it without them.
func (f *Follower) adopt(document *Document, revision store.Revision) {
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	newer := f.document == nil || document.Revision > f.document.Revision
	fuller := !newer && document.Revision == f.document.Revision && len(document.Changes) > len(f.document.Changes)
	if newer || fuller {
		f.document = document
	}
	f.mu.Unlock()
	if newer {
		f.changes.Notify()
	}
}

// watch adopts changes as they happen.
func (f *Follower) watch(ctx context.Context) {
	store.Follow(ctx, f.config.Store, f.key, f.seen, f.apply)
}

// seen returns the highest store revision known, from which a new watch continues.
func (f *Follower) seen() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// apply adopts the document of an event.
func (f *Follower) apply(event store.Event) {
	if event.Key != f.key || event.Deleted {
		return
	}
	if document, err := f.decode(event.KeyValue); err == nil {
		f.adopt(document, event.Revision)
	}
}

// confirm reads the document every ConfirmInterval, since a watch can miss events.
func (f *Follower) confirm(ctx context.Context) {
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
	began := time.Now()
	document, revision, err := f.read(ctx)
	if err != nil {
		return
	}
	f.adopt(document, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	// A read that is overtaken by a newer revision confirms nothing about that revision.
	if f.document.Revision == document.Revision {
		f.confirmed = began
	}
}

// read returns the document in the store.
func (f *Follower) read(ctx context.Context) (*Document, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := f.config.Store.Get(ctx, f.key)
	if err != nil {
		return nil, 0, err
	}
	document, err := f.decode(value)
	return document, value.Revision, err
}

func (f *Follower) decode(value store.KeyValue) (*Document, error) {
	document, err := wire.Unmarshal[Document](value.Value)
	if err != nil {
		f.config.Logger.Error("malformed configuration document", "key", value.Key, "error", err)
		return nil, errors.WithMessage(err, "configuration")
	}
	return document, nil
}
