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

// fakeStatus is a Status with settable registrations and document.
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
	if document.Revision > documentRevision(s.document) {
		s.document = document
	}
}

func (s *fakeStatus) modify(change func(*fakeStatus)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// fakeHandler records connects (+), disconnects (-) and request replies.
type fakeHandler struct {
	mutex  sync.Mutex
	events []string
}

func (h *fakeHandler) record(event string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event)
}

func (h *fakeHandler) drainEvents() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	events := h.events
	h.events = nil
	return events
}

func (h *fakeHandler) WorkerConnected(view View) { h.record("+" + view.Incarnation) }

func (h *fakeHandler) WorkerDisconnected(_, incarnation string) { h.record("-" + incarnation) }

func (h *fakeHandler) RequestReply(_ string, reply *wire.RequestReply) { h.record("reply " + reply.ID) }
func (h *fakeHandler) QueryReply(string, *wire.QueryReply)             {}
func (h *fakeHandler) HandleTaskEvent(string, *wire.TaskEvent)         {}
func (h *fakeHandler) HandleUsage(string, *wire.Usage)                 {}

// network is a link.Dialer that connects hubs by in-memory pipes. The addresses are entry names.
type network struct {
	mutex       sync.Mutex
	hubs        map[string]*Hub
	unreachable map[string]bool
	conns       []link.Conn
}

func (n *network) Dial(_ context.Context, address string) (link.Conn, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hub, ok := n.hubs[address]
	if !ok || n.unreachable[address] {
		return nil, link.ErrDial
	}
	a, b := link.Pipe()
	n.conns = append(n.conns, a)
	go hub.Serve(b)
	return a, nil
}

// testRegion is a set of running hubs, one for each entry of a region.
type testRegion struct {
	network *network
	status  map[string]*fakeStatus
	handler map[string]*fakeHandler
	stop    func()
}

func newTestRegion(t *testing.T, names ...string) *testRegion {
	region := &testRegion{
		network: &network{hubs: map[string]*Hub{}, unreachable: map[string]bool{}},
		status:  map[string]*fakeStatus{}, handler: map[string]*fakeHandler{},
	}
	var entries []wire.EntryAddress
	for _, name := range names {
		entries = append(entries, wire.EntryAddress{Name: name, LinkAddress: name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, name := range names {
		region.status[name] = &fakeStatus{
			entries: entries, registered: names,
			document: &configuration.Document{Revision: 1, Region: "r", Entries: names},
		}
		hub, err := New(Config{Name: name, Region: "r", Status: region.status[name], Dialer: region.network, Logger: log.New(io.Discard)})
		if err != nil {
			t.Fatal(err)
		}
		region.handler[name] = &fakeHandler{}
		hub.Register(region.handler[name])
		region.network.hubs[name] = hub
	}
	for _, hub := range region.network.hubs {
		group.Go(func() { _ = hub.Run(ctx) })
	}
	region.stop = func() {
		cancel()
		group.Wait()
		synctest.Wait()
	}
	return region
}

// testAgent is the agent's end of a link with a hub.
type testAgent struct {
	link.Conn
	received chan wire.Message
}

func (region *testRegion) connectAgent(entry, incarnation, bootID string, session uint64) *testAgent {
	near, far := link.Pipe()
	go region.network.hubs[entry].Serve(far)
	a := &testAgent{Conn: near, received: make(chan wire.Message, 64)}
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

func (a *testAgent) isClosed() bool {
	select {
	case <-a.Done():
		return true
	default:
		return false
	}
}

// exchange sends a message and returns all messages received by then.
func (a *testAgent) exchange(message wire.Message) []wire.Message {
	_ = a.Send(message)
	synctest.Wait()
	var messages []wire.Message
	for len(a.received) > 0 {
		messages = append(messages, <-a.received)
	}
	return messages
}

// TestEntriesAnnounced guards against a connected agent that is never sent the address of an entry
// that registers later.
func TestEntriesAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a")
		defer region.stop()
		agent := region.connectAgent("a", "i1", "b1", 1)
		time.Sleep(2 * reconcileInterval)
		synctest.Wait()
		is.Equal(len(agent.received), 1) // an unchanged list is not sent again
		<-agent.received
		entries := []wire.EntryAddress{{Name: "a", LinkAddress: "a"}, {Name: "b", LinkAddress: "b"}}
		region.status["a"].modify(func(s *fakeStatus) { s.entries = entries })
		time.Sleep(2 * reconcileInterval)
		synctest.Wait()
		is.Equal(len(agent.received), 1)
		is.Equal((<-agent.received).(*wire.Welcome).Entries, entries)
	})
}

// TestHeartbeat guards against a Hello or heartbeat that is not answered, a confirmation age that is
// rounded down, and an acknowledgement of a heartbeat of an unknown session.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a")
		defer region.stop()
		agent := region.connectAgent("a", "i1", "b1", 1)
		welcome := (<-agent.received).(*wire.Welcome)
		is.Equal(welcome.Revision, uint64(1))
		is.True(len(welcome.Document) > 0)
		is.Equal(len(welcome.Entries), 1)
		messages := agent.exchange(&wire.Heartbeat{Sequence: 7, Revision: 1, Session: 1, Targets: []wire.TargetState{{Service: "s"}}})
		is.Equal(messages, []wire.Message{&wire.HeartbeatAck{
			Sequence: 7, Backed: true, StoreReachable: true, ConfirmationAgeMillis: 2, Revision: 1,
		}})
		view, ok := region.network.hubs["a"].View("w")
		is.True(ok && view.Connected)
		is.Equal(len(view.Targets), 1)
		is.Equal(region.network.hubs["a"].AckStatus("w", "b1"), wire.AckStatusRecent)
		is.Equal(region.network.hubs["a"].AckStatus("w", "b2"), wire.AckStatusUptimeTooShort)
		time.Sleep(silenceWindow)
		is.Equal(region.network.hubs["a"].AckStatus("w", "b1"), wire.AckStatusNone)
		// The boot id of a session without a Hello is not known, so it must not be acknowledged.
		agent = region.connectAgent("a", "i1", "b1", 1)
		agent.exchange(&wire.Heartbeat{Session: 2})
		is.True(agent.isClosed())
		is.Equal(region.network.hubs["a"].AckStatus("w", "b1"), wire.AckStatusNone)
	})
}

// TestSilentLink guards against a worker that is still reported as connected after it has sent nothing
// for link.IdleTimeout.
func TestSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a")
		defer region.stop()
		region.connectAgent("a", "i1", "b1", 1)
		time.Sleep(link.IdleTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(region.handler["a"].drainEvents(), []string{"+i1", "-i1"})
		view, _ := region.network.hubs["a"].View("w")
		is.True(!view.Connected && !view.DisconnectedAt.IsZero())
		is.Equal(region.network.hubs["a"].Send("w", &wire.Cancel{}), ErrNotConnected)
	})
}

// TestLeavingWorker guards against a request that is sent, because of an outdated view, after the worker
// has announced its shutdown: the agent exits after the acknowledgement, and the outcome of the request
// would be unknown.
func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a")
		defer region.stop()
		agent := region.connectAgent("a", "i1", "b1", 1)
		is.NoErr(region.network.hubs["a"].SendIncarnation("w", "i1", &wire.Request{ID: "before"}))
		agent.exchange(&wire.Heartbeat{Leaving: true})
		is.Equal(region.network.hubs["a"].SendIncarnation("w", "i1", &wire.Request{ID: "after"}), ErrLeaving)
		is.NoErr(region.network.hubs["a"].SendIncarnation("w", "i1", &wire.Query{}))
	})
}

// TestReplacedLink guards against a disconnect that is reported although a newer link of the incarnation
// is open, and against an older incarnation that replaces a newer one.
func TestReplacedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a")
		defer region.stop()
		first := region.connectAgent("a", "i1", "b1", 1)
		second := region.connectAgent("a", "i1", "b1", 1)
		is.True(first.isClosed() && !second.isClosed())
		is.Equal(region.handler["a"].drainEvents(), []string{"+i1", "+i1"})
		third := region.connectAgent("a", "i2", "b1", 2)
		is.True(second.isClosed())
		is.Equal(region.handler["a"].drainEvents(), []string{"-i1", "+i2"})
		late := region.connectAgent("a", "i1", "b1", 1)
		is.True(late.isClosed() && !third.isClosed())
		is.Equal(len(region.handler["a"].drainEvents()), 0)
		is.Equal(region.network.hubs["a"].SendIncarnation("w", "i1", &wire.Cancel{}), ErrIncarnation)
		reboot := region.connectAgent("a", "i3", "b2", 1)
		is.True(third.isClosed() && !reboot.isClosed())
		is.Equal(region.handler["a"].drainEvents(), []string{"-i2", "+i3"})
	})
}

// TestConfiguration guards against a newer document that is not forwarded to agents and peers
// immediately, and against one that an agent has received but does not pass on to the entries.
func TestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a", "b")
		defer region.stop()
		agent := region.connectAgent("b", "i1", "b1", 1)
		time.Sleep(time.Second)
		agent.exchange(&wire.Heartbeat{Revision: 1})
		region.status["a"].Observe(&configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "b"}})
		time.Sleep(reconcileInterval + time.Millisecond)
		messages := agent.exchange(&wire.Heartbeat{Revision: 1})
		is.True(slices.ContainsFunc(messages, func(m wire.Message) bool {
			c, ok := m.(*wire.Configuration)
			return ok && c.Revision == 2
		}))
		is.Equal(region.status["b"].Document().Revision, uint64(2))
		data, err := wire.Marshal(&configuration.Document{Revision: 3, Region: "r", Entries: []string{"a", "b"}})
		is.NoErr(err)
		agent.exchange(&wire.Configuration{Revision: 3, Document: data})
		is.Equal(region.status["a"].Document().Revision, uint64(3))
		time.Sleep(time.Second + time.Millisecond)
		is.Equal(region.network.hubs["a"].PeerRevisions(), map[string]uint64{"b": 3})
	})
}

// TestDocumentWithoutChanges guards against a configuration document that is sent to agents with its
// list of changes, or to peers without it.
func TestDocumentWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a", "b")
		defer region.stop()
		agent := region.connectAgent("a", "i1", "b1", 1)
		time.Sleep(time.Second)
		changes := []configuration.Change{{Revision: 2, Summary: "zone out"}}
		region.status["a"].Observe(&configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "b"}, Changes: changes})
		time.Sleep(reconcileInterval + time.Millisecond)
		sent := 0
		for _, message := range agent.exchange(&wire.Heartbeat{Revision: 1}) {
			if c, ok := message.(*wire.Configuration); ok {
				document, err := wire.Unmarshal[configuration.Document](c.Document)
				is.NoErr(err)
				is.Equal(len(document.Changes), 0)
				sent++
			}
		}
		is.Equal(sent, 1)
		is.Equal(len(region.status["b"].Document().Changes), 1)
	})
}

// lostAfterReplies calls IsLost to query the peers, and again after their replies.
func (region *testRegion) lostAfterReplies(entry string) bool {
	region.network.hubs[entry].IsLost("w", "b1")
	time.Sleep(time.Millisecond)
	synctest.Wait()
	return region.network.hubs[entry].IsLost("w", "b1")
}

// TestLost guards against a worker that is declared lost, and whose tasks could still run, although one
// of the conditions listed at Hub.IsLost does not hold.
func TestLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a", "b", "c")
		defer region.stop()
		time.Sleep(time.Second)
		is.True(!region.lostAfterReplies("a")) // the entries have not run for long enough to deny
		time.Sleep(silenceWindow)
		is.True(region.lostAfterReplies("a"))
		agent := region.connectAgent("b", "i1", "b1", 1)
		agent.exchange(&wire.Heartbeat{Session: 1})
		time.Sleep(lease.Term)
		is.True(!region.lostAfterReplies("a")) // a peer has acknowledged it
		time.Sleep(silenceWindow - lease.Term)
		is.True(region.lostAfterReplies("a"))

		region.status["a"].modify(func(s *fakeStatus) { s.expired = []string{"x"} })
		is.True(!region.lostAfterReplies("a")) // the registration of another entry has expired
		region.status["a"].modify(func(s *fakeStatus) { s.expired = []string{"a"} })
		is.True(region.lostAfterReplies("a"))

		region.status["a"].modify(func(s *fakeStatus) { s.registered = []string{"a", "b", "c", "d"} })
		is.True(!region.lostAfterReplies("a")) // a registered entry has not denied
		region.status["a"].modify(func(s *fakeStatus) {
			s.registered = []string{"a", "b", "c"}
			s.document = &configuration.Document{Revision: 2, Region: "r", Entries: []string{"a", "d", "e", "f"}}
		})
		is.True(!region.lostAfterReplies("a")) // one of four configured entries denies, two are needed
	})
}

// TestLostStale guards against combining denials that are too far apart to cover a common lease term.
func TestLostStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		region := newTestRegion(t, "a", "b")
		defer region.stop()
		time.Sleep(silenceWindow + time.Second)
		is.True(region.lostAfterReplies("a"))
		region.network.mutex.Lock()
		region.network.unreachable["b"] = true
		for _, conn := range region.network.conns {
			conn.Close()
		}
		region.network.mutex.Unlock()
		time.Sleep(denialValidity + time.Millisecond)
		is.True(!region.lostAfterReplies("a"))
	})
}
