package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Intervals of the hub's periodic work.
const (
	// reconcileInterval is the longest delay before a new entry is dialled or a missed configuration
	// change is forwarded.
	reconcileInterval = 100 * time.Millisecond
	// disconnectedViewRetention is how long the view of a worker without a link is kept.
	disconnectedViewRetention = time.Hour
)

// Config holds the settings and dependencies of a Hub. Name, Status, Dialer and Logger are required.
type Config struct {
	Name, Region, Zone string
	// Incarnation identifies this run of the entry. New generates a random one if it is empty.
	Incarnation string
	Status      Status
	Dialer      link.Dialer
	Logger      *log.Logger
	// Changes signals a new configuration document. If it is nil, the document is only polled.
	Changes <-chan struct{}
}

// Hub keeps the links of one entry. Its methods are safe for concurrent use.
type Hub struct {
	config Config

	mutex       sync.Mutex
	handlers    []Handler
	workers     map[string]*worker
	peers       map[string]*peer
	dialling    map[string]bool
	links       map[*connection]struct{}
	silence     *lease.SilenceDetector
	queryRounds map[bootKey]*queryRound
	nonce       uint64
	encoded     map[wire.Role]encodedDocument
}

// worker is the state of one worker.
type worker struct {
	// eventMutex is held during the connect and disconnect calls to handlers, to keep them in order.
	eventMutex sync.Mutex
	view       View
	link       *connection
}

// peer is the state of one peer entry.
type peer struct {
	revision uint64
	link     *connection
}

// connection is a link that has completed its handshake (Hello or Welcome).
type connection struct {
	link.Conn
	role                      wire.Role
	name, incarnation, bootID string
	session                   uint64
	// revision is the highest configuration revision sent to or reported by the other side.
	revision uint64
	// entries is the list of entries in the last Welcome sent.
	entries []wire.EntryAddress
}

// encodedDocument caches the encoded configuration document sent to all links of one role.
type encodedDocument struct {
	revision uint64
	data     []byte
}

// New returns a hub that has no links yet. It returns ErrConfig if a required field is not set.
func New(config Config) (*Hub, error) {
	if config.Name == "" || config.Status == nil || config.Logger == nil || config.Dialer == nil {
		return nil, ErrConfig
	}
	if config.Incarnation == "" {
		config.Incarnation = uuid.NewString()
	}
	return &Hub{
		config:      config,
		workers:     make(map[string]*worker),
		peers:       make(map[string]*peer),
		dialling:    make(map[string]bool),
		links:       make(map[*connection]struct{}),
		silence:     lease.NewSilenceDetector(time.Now()),
		queryRounds: make(map[bootKey]*queryRound),
		encoded:     make(map[wire.Role]encodedDocument),
		nonce:       rand.Uint64(),
	}, nil
}

// Register adds a handler. Call it before the first link is served.
func (h *Hub) Register(handler Handler) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.handlers = append(slices.Clone(h.handlers), handler)
}

// Run dials the peers and forwards configuration changes until ctx is cancelled. It then closes all
// links, waits for the goroutines that it started and returns nil.
func (h *Hub) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	defer h.closeLinks()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		h.forwardConfiguration()
		h.announceEntries()
		h.dialPeers(ctx, &group)
		h.pruneExpired(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.config.Changes:
		}
	}
}

// closeLinks closes all links.
func (h *Hub) closeLinks() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.links {
		conn.Close()
	}
}

// pruneExpired deletes the views of workers that have been disconnected for longer than
// disconnectedViewRetention, and query rounds that have not been used for silenceWindow.
func (h *Hub) pruneExpired(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, w := range h.workers {
		if w.view.Name != "" && w.link == nil && now.Sub(w.view.DisconnectedAt) > disconnectedViewRetention {
			delete(h.workers, name)
		}
	}
	for key, r := range h.queryRounds {
		if now.Sub(r.usedAt) > silenceWindow {
			delete(h.queryRounds, key)
		}
	}
}

// Views returns a copy of the view of every known worker, sorted by name.
func (h *Hub) Views() []View {
	h.mutex.Lock()
	views := make([]View, 0, len(h.workers))
	for _, w := range h.workers {
		views = append(views, w.view)
	}
	h.mutex.Unlock()
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return views
}

// View returns a copy of the view of a worker, and false if the worker is not known.
func (h *Hub) View(name string) (View, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	w, ok := h.workers[name]
	if !ok {
		return View{}, false
	}
	return w.view, true
}

// Send queues a message to the current incarnation of a worker. If it returns an error, the message
// will not be delivered.
func (h *Hub) Send(name string, message wire.Message) error {
	return h.SendIncarnation(name, "", message)
}

// SendIncarnation queues a message to one incarnation of a worker; an empty incarnation matches any.
// If it returns an error, the message will not be delivered.
func (h *Hub) SendIncarnation(name, incarnation string, message wire.Message) error {
	h.mutex.Lock()
	w, ok := h.workers[name]
	if !ok || w.link == nil {
		h.mutex.Unlock()
		return ErrNotConnected
	}
	conn, leaving := w.link, w.view.Leaving
	h.mutex.Unlock()
	// The routing table is up to 50 ms old and may still list a worker that is shutting down. Its agent
	// exits soon after its Leaving announcement is acknowledged, so the current view is checked here.
	if _, request := message.(*wire.Request); request && leaving {
		return ErrLeaving
	}
	if incarnation != "" && conn.incarnation != incarnation {
		return ErrIncarnation
	}
	return conn.Send(message)
}

// PeerRevisions returns the highest configuration revision that each connected peer has reported.
func (h *Hub) PeerRevisions() map[string]uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	revisions := make(map[string]uint64, len(h.peers))
	for name, p := range h.peers {
		if p.link != nil {
			revisions[name] = p.revision
		}
	}
	return revisions
}

// documentRevision returns the revision of the document, or 0 if it is nil.
func documentRevision(document *configuration.Document) uint64 {
	if document == nil {
		return 0
	}
	return document.Revision
}
