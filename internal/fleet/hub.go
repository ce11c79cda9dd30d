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

// Intervals of the hub's duties.
const (
	// reconcileInterval bounds how late a new entry is dialled and a missed change is forwarded.
	reconcileInterval = 100 * time.Millisecond
	// lostViewRetention is how long the view of a worker without a link is kept.
	lostViewRetention = time.Hour
)

// Config holds the dependencies of a Hub.
type Config struct {
	Name, Region, Zone string
	// Incarnation is drawn at random if it is empty.
	Incarnation string
	Status      Status
	Dialer      link.Dialer
	Logger      *log.Logger
	// Changes notifies of a new configuration document; nil if the document is only polled.
	Changes <-chan struct{}
}

// Hub keeps the links of one entry. Its methods are safe for concurrent use.
type Hub struct {
	config Config

	mutex    sync.Mutex
	handlers []Handler
	workers  map[string]*worker
	peers    map[string]*peer
	dialling map[string]bool
	links    map[*connection]struct{}
	silence  *lease.SilenceDetector
	rounds   map[bootKey]*round
	nonce    uint64
	encoded  map[wire.Role]encodedDocument
}

// worker is the state of one worker.
type worker struct {
	// events keeps the connect and disconnect calls to handlers in order.
	events sync.Mutex
	view   View
	link   *connection
}

// peer is the state of one peer entry.
type peer struct {
	revision uint64
	link     *connection
}

// connection is one link after its Hello.
type connection struct {
	link.Conn
	role                      wire.Role
	name, incarnation, bootID string
	session                   uint64
	// revision is the highest configuration revision sent to or stated by the other side.
	revision uint64
	// entries is the list that the last Welcome named.
	entries []wire.EntryAddress
}

// encodedDocument keeps the encoding of the current document, which goes to every link of a role.
type encodedDocument struct {
	revision uint64
	data     []byte
}

// New returns a hub, or ErrConfig.
func New(config Config) (*Hub, error) {
	if config.Name == "" || config.Status == nil || config.Logger == nil || config.Dialer == nil {
		return nil, ErrConfig
	}
	if config.Incarnation == "" {
		config.Incarnation = uuid.NewString()
	}
	return &Hub{
		config:   config,
		workers:  make(map[string]*worker),
		peers:    make(map[string]*peer),
		dialling: make(map[string]bool),
		links:    make(map[*connection]struct{}),
		silence:  lease.NewSilenceDetector(time.Now()),
		rounds:   make(map[bootKey]*round),
		encoded:  make(map[wire.Role]encodedDocument),
		nonce:    rand.Uint64(),
	}, nil
}

// Register adds a handler. It is called before the first link is served.
func (h *Hub) Register(handler Handler) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.handlers = append(slices.Clone(h.handlers), handler)
}

// Run dials the peers and forwards configuration changes until the context ends; then it closes all
// links and waits for the goroutines that it started.
func (h *Hub) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	defer h.closeAll()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		h.forwardConfiguration()
		h.announceEntries()
		h.dialPeers(ctx, &group)
		h.prune(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-h.config.Changes:
		}
	}
}

// closeAll ends all links.
func (h *Hub) closeAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.links {
		conn.Close()
	}
}

// prune drops state that can no longer matter.
func (h *Hub) prune(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, w := range h.workers {
		if w.view.Name != "" && w.link == nil && now.Sub(w.view.LostAt) > lostViewRetention {
			delete(h.workers, name)
		}
	}
	for key, r := range h.rounds {
		if now.Sub(r.usedAt) > silenceWindow {
			delete(h.rounds, key)
		}
	}
}

// Views returns the view of every known worker, sorted by name.
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

// View returns the view of a worker.
func (h *Hub) View(name string) (View, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	w, ok := h.workers[name]
	if !ok {
		return View{}, false
	}
	return w.view, true
}

// Send queues a message to a worker. After an error the message is certainly not delivered.
func (h *Hub) Send(name string, message wire.Message) error {
	return h.SendIncarnation(name, "", message)
}

// SendIncarnation queues a message to one incarnation of a worker; an empty incarnation stands for
// any. After an error the message is certainly not delivered.
func (h *Hub) SendIncarnation(name, incarnation string, message wire.Message) error {
	h.mutex.Lock()
	w, ok := h.workers[name]
	if !ok || w.link == nil {
		h.mutex.Unlock()
		return ErrNotConnected
	}
	conn, leaving := w.link, w.view.Leaving
	h.mutex.Unlock()
	// Routing's view is up to 50 ms old. An agent that stops exits soon after its announcement is
	// acknowledged, so nothing may be sent on the old view.
	if _, request := message.(*wire.Request); request && leaving {
		return ErrLeaving
	}
	if incarnation != "" && conn.incarnation != incarnation {
		return ErrIncarnation
	}
	return conn.Send(message)
}

// PeerRevisions returns the highest configuration revision that each linked peer has stated.
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

// revision returns the revision of the known document, or 0.
func revisionOf(document *configuration.Document) uint64 {
	if document == nil {
		return 0
	}
	return document.Revision
}
