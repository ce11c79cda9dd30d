package fleet

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/configuration"
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

func (s *fakeStatus) Backed() bool { return true }

func (s *fakeStatus) StoreReachable() bool { return true }

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

func (h *fakeHandler) QueryReply(string, *wire.QueryReply) {}

func (h *fakeHandler) HandleTaskEvent(string, *wire.TaskEvent) {}

func (h *fakeHandler) HandleUsage(string, *wire.Usage) {}

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

// lostAfterReplies calls IsLost to query the peers, and again after their replies.
func (region *testRegion) lostAfterReplies(entry string) bool {
	region.network.hubs[entry].IsLost("w", "b1")
	time.Sleep(time.Millisecond)
	synctest.Wait()
	return region.network.hubs[entry].IsLost("w", "b1")
}
