package fleet

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/link"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// fakeStatus is the state of one entry.
type fakeStatus struct {
	mutex      sync.Mutex
	document   *configuration.Document
	entries    []wire.EntryAddress
	registered []string
	expired    []string
}

func (s *fakeStatus) Backed() bool                           { return true }
func (s *fakeStatus) StoreReachable() bool                   { return true }
func (s *fakeStatus) ConfirmationAge() (time.Duration, bool) { return 1500 * time.Microsecond, true }

func (s *fakeStatus) Entries() []wire.EntryAddress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entries
}

func (s *fakeStatus) RegisteredNames() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registered
}

func (s *fakeStatus) ExpiredWithin(time.Duration) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.expired
}

func (s *fakeStatus) Document() *configuration.Document {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.document
}

func (s *fakeStatus) Observe(document *configuration.Document) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if document.Revision > revisionOf(s.document) {
		s.document = document
	}
}

func (s *fakeStatus) set(change func(*fakeStatus)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// fakeHandler records connects and disconnects.
type fakeHandler struct {
	mutex  sync.Mutex
	events []string
}

func (h *fakeHandler) add(event string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event)
}

func (h *fakeHandler) take() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	events := h.events
	h.events = nil
	return events
}

func (h *fakeHandler) WorkerConnected(view View)                       { h.add("+" + view.Incarnation) }
func (h *fakeHandler) WorkerDisconnected(_, incarnation string)        { h.add("-" + incarnation) }
func (h *fakeHandler) RequestReply(_ string, reply *wire.RequestReply) { h.add("reply " + reply.ID) }
func (h *fakeHandler) QueryReply(string, *wire.QueryReply)             {}
func (h *fakeHandler) TaskEvent(string, *wire.TaskEvent)               {}
func (h *fakeHandler) Usage(string, *wire.Usage)                       {}

// network connects hubs by pipes; addresses are entry names.
type network struct {
	mutex sync.Mutex
	hubs  map[string]*Hub
	cut   map[string]bool
	conns []link.Conn
}

func (n *network) Dial(_ context.Context, address string) (link.Conn, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hub, ok := n.hubs[address]
	if !ok || n.cut[address] {
		return nil, link.ErrDial
	}
	a, b := link.Pipe()
	n.conns = append(n.conns, a)
	go hub.Serve(b)
	return a, nil
}

// world is a region of entries.
type world struct {
	network *network
	status  map[string]*fakeStatus
	handler map[string]*fakeHandler
	stop    func()
}

func newWorld(t *testing.T, names ...string) *world {
	w := &world{
		network: &network{hubs: map[string]*Hub{}, cut: map[string]bool{}},
		status:  map[string]*fakeStatus{}, handler: map[string]*fakeHandler{},
	}
	var entries []wire.EntryAddress
	for _, name := range names {
		entries = append(entries, wire.EntryAddress{Name: name, LinkAddress: name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, name := range names {
		w.status[name] = &fakeStatus{
			entries: entries, registered: names,
			document: &configuration.Document{Revision: 1, Region: "r", Entries: names},
		}
		hub, err := New(Config{Name: name, Region: "r", Status: w.status[name], Dialer: w.network, Logger: log.New(io.Discard)})
		if err != nil {
			t.Fatal(err)
		}
		w.handler[name] = &fakeHandler{}
		hub.Register(w.handler[name])
		w.network.hubs[name] = hub
	}
	for _, hub := range w.network.hubs {
		group.Go(func() { _ = hub.Run(ctx) })
	}
	w.stop = func() {
		cancel()
		group.Wait()
		synctest.Wait()
	}
	return w
}

// agent is the far side of a link with a hub.
type agent struct {
	link.Conn
	received chan wire.Message
}

func (w *world) agent(entry, incarnation, bootID string, session uint64) *agent {
	near, far := link.Pipe()
	go w.network.hubs[entry].Serve(far)
	a := &agent{Conn: near, received: make(chan wire.Message, 64)}
	go func() {
		for {
			message, err := near.Receive()
			if err != nil {
				close(a.received)
				return
			}
			a.received <- message
		}
	}()
	_ = near.Send(&wire.Hello{
		Role: wire.RoleAgent, Name: "w", Incarnation: incarnation, Region: "r", Zone: "z",
		Session: task.Session{BootID: bootID, Number: session},
	})
	synctest.Wait()
	return a
}

func (a *agent) closed() bool {
	select {
	case <-a.Done():
		return true
	default:
		return false
	}
}

// beat sends a message and returns the messages that came back.
func (a *agent) beat(message wire.Message) []wire.Message {
	_ = a.Send(message)
	synctest.Wait()
	var messages []wire.Message
	for len(a.received) > 0 {
		messages = append(messages, <-a.received)
	}
	return messages
}

// TestEntriesAnnounced guards against an agent that never dials an entry which registered after the
// agent had connected.
func TestEntriesAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a")
		defer w.stop()
		agent := w.agent("a", "i1", "b1", 1)
		time.Sleep(2 * reconcileInterval)
		synctest.Wait()
		is.Equal(len(agent.received), 1) // an unchanged list is not sent again
		<-agent.received
		entries := []wire.EntryAddress{{Name: "a", LinkAddress: "a"}, {Name: "b", LinkAddress: "b"}}
		w.status["a"].set(func(s *fakeStatus) { s.entries = entries })
		time.Sleep(2 * reconcileInterval)
		synctest.Wait()
		is.Equal(len(agent.received), 1)
		is.Equal((<-agent.received).(*wire.Welcome).Entries, entries)
	})
}

// TestHeartbeat guards against a Hello or a heartbeat without an answer, and a confirmation that is
// stated younger than it is.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a")
		defer w.stop()
		agent := w.agent("a", "i1", "b1", 1)
		welcome := (<-agent.received).(*wire.Welcome)
		is.Equal(welcome.Revision, uint64(1))
		is.True(len(welcome.Document) > 0)
		is.Equal(len(welcome.Entries), 1)
		messages := agent.beat(&wire.Heartbeat{Sequence: 7, Revision: 1, Session: 1, Targets: []wire.TargetState{{Service: "s"}}})
		is.Equal(messages, []wire.Message{&wire.HeartbeatAck{
			Sequence: 7, Backed: true, StoreReachable: true, ConfirmationAgeMillis: 2, Revision: 1,
		}})
		view, ok := w.network.hubs["a"].View("w")
		is.True(ok && view.Connected)
		is.Equal(len(view.Targets), 1)
		is.Equal(w.network.hubs["a"].Verdict("w", "b1"), wire.SilenceAcknowledged)
		is.Equal(w.network.hubs["a"].Verdict("w", "b2"), wire.SilenceTooYoung)
		time.Sleep(silenceWindow)
		is.Equal(w.network.hubs["a"].Verdict("w", "b1"), wire.SilenceDenied)
		// The boot id behind another session number is not known: no acknowledgement may be given.
		agent = w.agent("a", "i1", "b1", 1)
		agent.beat(&wire.Heartbeat{Session: 2})
		is.True(agent.closed())
		is.Equal(w.network.hubs["a"].Verdict("w", "b1"), wire.SilenceDenied)
	})
}

// TestSilentLink guards against a silent worker that stays connected.
func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a")
		defer w.stop()
		w.agent("a", "i1", "b1", 1)
		time.Sleep(link.SilenceBound + time.Millisecond)
		synctest.Wait()
		is.Equal(w.handler["a"].take(), []string{"+i1", "-i1"})
		view, _ := w.network.hubs["a"].View("w")
		is.True(!view.Connected && !view.LostAt.IsZero())
		is.Equal(w.network.hubs["a"].Send("w", &wire.Cancel{}), ErrNotConnected)
	})
}

// TestLeavingWorker guards against a request on a view that is older than the worker's announcement of
// its stop: the agent exits after the acknowledgement, and the request's outcome would be unknown.
func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a")
		defer w.stop()
		agent := w.agent("a", "i1", "b1", 1)
		is.NoErr(w.network.hubs["a"].SendIncarnation("w", "i1", &wire.Request{ID: "before"}))
		agent.beat(&wire.Heartbeat{Leaving: true})
		is.Equal(w.network.hubs["a"].SendIncarnation("w", "i1", &wire.Request{ID: "after"}), ErrLeaving)
		is.NoErr(w.network.hubs["a"].SendIncarnation("w", "i1", &wire.Query{}))
	})
}

// TestReplacedLink guards against a disconnect reported while a newer link works, and against an older
// incarnation that replaces a newer one.
func TestReplacedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a")
		defer w.stop()
		first := w.agent("a", "i1", "b1", 1)
		second := w.agent("a", "i1", "b1", 1)
		is.True(first.closed() && !second.closed())
		is.Equal(w.handler["a"].take(), []string{"+i1", "+i1"})
		third := w.agent("a", "i2", "b1", 2)
		is.True(second.closed())
		is.Equal(w.handler["a"].take(), []string{"-i1", "+i2"})
		late := w.agent("a", "i1", "b1", 1)
		is.True(late.closed() && !third.closed())
		is.Equal(len(w.handler["a"].take()), 0)
		is.Equal(w.network.hubs["a"].SendIncarnation("w", "i1", &wire.Cancel{}), ErrIncarnation)
		reboot := w.agent("a", "i3", "b2", 1)
		is.True(third.closed() && !reboot.closed())
		is.Equal(w.handler["a"].take(), []string{"-i2", "+i3"})
	})
}

// TestConfiguration guards against a newer document that does not reach agents and peers at once, and
// against one that an agent knows and the entries do not.
func TestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", "b")
		defer w.stop()
		agent := w.agent("b", "i1", "b1", 1)
		time.Sleep(time.Second)
		agent.beat(&wire.Heartbeat{Revision: 1})
		w.status["a"].Observe(&configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "b"}})
		time.Sleep(reconcileInterval + time.Millisecond)
		messages := agent.beat(&wire.Heartbeat{Revision: 1})
		is.True(slices.ContainsFunc(messages, func(m wire.Message) bool {
			c, ok := m.(*wire.Configuration)
			return ok && c.Revision == 2
		}))
		is.Equal(w.status["b"].Document().Revision, uint64(2))
		data, err := wire.Marshal(&configuration.Document{Revision: 3, Region: "r", Entries: []string{"a", "b"}})
		is.NoErr(err)
		agent.beat(&wire.Configuration{Revision: 3, Document: data})
		is.Equal(w.status["a"].Document().Revision, uint64(3))
		time.Sleep(time.Second + time.Millisecond)
		is.Equal(w.network.hubs["a"].PeerRevisions(), map[string]uint64{"b": 3})
	})
}

// TestDocumentWithoutChanges guards against a list of changes that is sent to every agent with each
// change of the configuration, and against a peer that loses it.
func TestDocumentWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", "b")
		defer w.stop()
		agent := w.agent("a", "i1", "b1", 1)
		time.Sleep(time.Second)
		changes := []configuration.Change{{Revision: 2, Summary: "zone out"}}
		w.status["a"].Observe(&configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "b"}, Changes: changes})
		time.Sleep(reconcileInterval + time.Millisecond)
		sent := 0
		for _, message := range agent.beat(&wire.Heartbeat{Revision: 1}) {
			if c, ok := message.(*wire.Configuration); ok {
				document, err := wire.Unmarshal[configuration.Document](c.Document)
				is.NoErr(err)
				is.Equal(len(document.Changes), 0)
				sent++
			}
		}
		is.Equal(sent, 1)
		is.Equal(len(w.status["b"].Document().Changes), 1)
	})
}

// lost calls Lost until the peers have answered.
func (w *world) lost(entry string) bool {
	w.network.hubs[entry].Lost("w", "b1")
	time.Sleep(time.Millisecond)
	synctest.Wait()
	return w.network.hubs[entry].Lost("w", "b1")
}

// TestLost guards against a worker that is declared lost while one of the conditions of section 3.2
// does not hold: its tasks could still run.
func TestLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", "b", "c")
		defer w.stop()
		time.Sleep(time.Second)
		is.True(!w.lost("a")) // too young
		time.Sleep(silenceWindow)
		is.True(w.lost("a"))
		agent := w.agent("b", "i1", "b1", 1)
		agent.beat(&wire.Heartbeat{Session: 1})
		time.Sleep(lease.Term)
		is.True(!w.lost("a")) // a peer has acknowledged it
		time.Sleep(silenceWindow - lease.Term)
		is.True(w.lost("a"))

		w.status["a"].set(func(s *fakeStatus) { s.expired = []string{"x"} })
		is.True(!w.lost("a")) // another registration has expired
		w.status["a"].set(func(s *fakeStatus) { s.expired = []string{"a"} })
		is.True(w.lost("a"))

		w.status["a"].set(func(s *fakeStatus) { s.registered = []string{"a", "b", "c", "d"} })
		is.True(!w.lost("a")) // a registered entry has not denied
		w.status["a"].set(func(s *fakeStatus) {
			s.registered = []string{"a", "b", "c"}
			s.document = &configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "d", "e", "f"}}
		})
		is.True(!w.lost("a")) // one of four configured entries denies, two are needed
	})
}

// TestLostStale guards against denials of different times that share no whole lease term.
func TestLostStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, "a", "b")
		defer w.stop()
		time.Sleep(silenceWindow + time.Second)
		is.True(w.lost("a"))
		w.network.mutex.Lock()
		w.network.cut["b"] = true
		for _, conn := range w.network.conns {
			conn.Close()
		}
		w.network.mutex.Unlock()
		time.Sleep(denialValidity + time.Millisecond)
		is.True(!w.lost("a"))
	})
}
