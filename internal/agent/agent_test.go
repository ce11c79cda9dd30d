package agent

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
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// testEntry is a minimal entry that serves agents over pipes or sockets and records their messages.
type testEntry struct {
	mutex        sync.Mutex
	name         string
	knownEntries []wire.EntryAddress
	unresponsive bool
	conn         link.Conn
	hellos       []*wire.Hello
	heartbeats   []time.Time
	linkEndedAt  []time.Time
	events       map[string][]wire.EventType
	replies      chan *wire.RequestReply
	queries      chan *wire.QueryReply
}

func newTestEntry(name string) *testEntry {
	return &testEntry{
		name: name, events: map[string][]wire.EventType{},
		replies: make(chan *wire.RequestReply, 256), queries: make(chan *wire.QueryReply, 16),
	}
}

// serve handles the messages of one link until it ends.
func (e *testEntry) serve(conn link.Conn) {
	e.mutex.Lock()
	e.conn = conn
	e.mutex.Unlock()
	for {
		message, err := conn.Receive()
		if err != nil {
			e.mutex.Lock()
			e.linkEndedAt = append(e.linkEndedAt, time.Now())
			e.mutex.Unlock()
			return
		}
		e.handleMessage(conn, message)
	}
}

// handleMessage records a message and replies as a backed entry, unless the entry is unresponsive.
func (e *testEntry) handleMessage(conn link.Conn, message wire.Message) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.unresponsive {
		return
	}
	switch message := message.(type) {
	case *wire.Hello:
		e.hellos = append(e.hellos, message)
		document, _ := wire.Marshal(testDocument())
		_ = conn.Send(&wire.Welcome{Name: e.name, Entries: e.knownEntries, Document: document, Revision: 1})
	case *wire.Heartbeat:
		e.heartbeats = append(e.heartbeats, time.Now())
		_ = conn.Send(&wire.HeartbeatAck{Sequence: message.Sequence, Backed: true, StoreReachable: true, Revision: 1})
	case *wire.TaskEvent:
		e.events[message.TaskID] = append(e.events[message.TaskID], message.Type)
		_ = conn.Send(&wire.AckTaskEvent{TaskID: message.TaskID, Attempt: message.Attempt, Type: message.Type})
	case *wire.RequestReply:
		e.replies <- message
	case *wire.QueryReply:
		e.queries <- message
	}
}

// withLock runs a function with the entry's lock held.
func (e *testEntry) withLock(f func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f()
}

// startTask sends an order to start attempt 1 of a batch task in the session of the last Hello.
func (e *testEntry) startTask(id string, runMillis string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.conn.Send(&wire.StartTask{
		Order:    wire.Order{TaskID: id, Attempt: 1, Epoch: 1, Session: e.hellos[len(e.hellos)-1].Session},
		TaskKind: task.KindBatch, Class: "plan", Size: resource.Quantity{MilliCPU: 1000},
		Payload: []byte(`{"run_ms":` + runMillis + `}`),
	})
}

func testDocument() *configuration.Document {
	return &configuration.Document{Revision: 1, Region: "r", Entries: []string{"e1", "e2"}, Zones: []configuration.Zone{{Name: "z"}}}
}

// pipeDialer connects agents with test entries through in-memory pipes.
type pipeDialer struct {
	entries map[string]*testEntry
	wait    sync.WaitGroup
}

func (d *pipeDialer) Dial(_ context.Context, address string) (link.Conn, error) {
	entry, ok := d.entries[address]
	if !ok {
		return nil, link.ErrDial
	}
	near, far := link.Pipe()
	d.wait.Go(func() { entry.serve(far) })
	return near, nil
}

// runAgent runs an agent with pipes and a stand-in runtime while the test function runs.
func runAgent(t *testing.T, entries map[string]*testEntry, seeds []string, test func(*worker.Runtime)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	standin := worker.NewRuntime(worker.RuntimeConfig{Capacity: resource.Quantity{MilliCPU: 4000}, UsageLag: time.Second})
	dialer := &pipeDialer{entries: entries}
	a, err := New(Config{
		Name: "w", Region: "r", Zone: "z", Entries: seeds, Dialer: dialer, Runtime: standin, Logger: log.New(io.Discard),
	})
	is.New(t).NoErr(err)
	var wait sync.WaitGroup
	runtimeContext, stopRuntime := context.WithCancel(context.Background())
	wait.Go(func() { _ = standin.Run(runtimeContext) })
	wait.Go(func() { _ = a.Run(ctx) })
	test(standin)
	cancel()
	stopRuntime()
	wait.Wait()
	dialer.wait.Wait()
}

// TestHeartbeatSilenceRedial guards against missing heartbeats, a silent link that is not closed, an entry
// that is not discovered from another one, and tasks that outlive the lease of a partitioned agent.
func TestHeartbeatSilenceRedial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := newTestEntry("e1"), newTestEntry("e2")
		first.knownEntries = []wire.EntryAddress{{Name: "e1", LinkAddress: "a1"}, {Name: "e2", LinkAddress: "a2"}}
		runAgent(t, map[string]*testEntry{"a1": first, "a2": second}, []string{"a1"}, func(standin *worker.Runtime) {
			time.Sleep(10 * time.Second)
			first.withLock(func() { is.True(len(first.heartbeats) >= 9 && len(first.heartbeats) <= 12) })
			second.withLock(func() { is.Equal(len(second.hellos), 1) })
			first.startTask("a", "60000")
			time.Sleep(time.Second)
			first.withLock(func() { is.Equal(first.events["a"], []wire.EventType{wire.EventStarted}) })
			unresponsiveSince := time.Now()
			first.withLock(func() { first.unresponsive = true })
			second.withLock(func() { second.unresponsive = true })
			time.Sleep(lease.Term + lease.ClockDriftMargin)
			first.withLock(func() {
				is.True(len(first.linkEndedAt) >= 1)
				is.True(first.linkEndedAt[0].Sub(unresponsiveSince) <= link.IdleTimeout)
			})
			executions := standin.State().Executions
			is.Equal(len(executions), 1)
			is.True(executions[0].Ending == "evicted" || executions[0].Ending == "lease")
			is.True(executions[0].StoppedAt.Sub(unresponsiveSince) <= lease.Term+tickInterval)
			first.withLock(func() { first.unresponsive = false })
			time.Sleep(10 * time.Second)
			first.withLock(func() {
				is.Equal(first.events["a"][1], wire.EventEvicted)
				last := first.hellos[len(first.hellos)-1]
				is.True(last.Session.Number > first.hellos[0].Session.Number)
			})
		})
	})
}

// TestTaskLifecycle guards against a task that does not finish, an ended attempt that is never forgotten
// at the runtime, and a second execution of a repeated order.
func TestTaskLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entry := newTestEntry("e1")
		runAgent(t, map[string]*testEntry{"a1": entry}, []string{"a1"}, func(standin *worker.Runtime) {
			time.Sleep(2 * time.Second)
			// An order that is repeated while the task runs is answered with its status.
			entry.startTask("a", "500")
			time.Sleep(100 * time.Millisecond)
			entry.startTask("a", "500")
			// An order that is repeated at once may arrive before or after the start.
			entry.startTask("b", "500")
			entry.startTask("b", "500")
			time.Sleep(4 * time.Second)
			entry.startTask("a", "500")
			entry.startTask("b", "500")
			time.Sleep(4 * time.Second)
			state := standin.State()
			is.Equal(len(state.Executions), 2)
			is.Equal(state.Executions[0].Ending, "finished")
			is.Equal(state.Executions[1].Ending, "finished")
			entry.withLock(func() {
				is.Equal(entry.events["a"], []wire.EventType{wire.EventStarted, wire.EventStarted, wire.EventFinished, wire.EventRefused})
				is.True(len(entry.events["b"]) <= len(entry.events["a"]))
				is.Equal(slices.Compact(entry.events["b"]), []wire.EventType{wire.EventStarted, wire.EventFinished, wire.EventRefused})
			})
			attachment, err := standin.Attach(t.Context())
			is.NoErr(err)
			is.Equal(len(attachment.Tasks), 0)
		})
	})
}

// TestLostStartAnswer guards against a task that starts twice or is lost when the response to its start
// call is lost.
func TestLostStartAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entry := newTestEntry("e1")
		runAgent(t, map[string]*testEntry{"a1": entry}, []string{"a1"}, func(standin *worker.Runtime) {
			time.Sleep(2 * time.Second)
			standin.SetFaults(worker.Faults{LoseAnswers: true})
			entry.startTask("a", "500")
			time.Sleep(100 * time.Millisecond)
			standin.SetFaults(worker.Faults{})
			time.Sleep(5 * time.Second)
			state := standin.State()
			is.Equal(len(state.Executions), 1)
			is.Equal(state.Executions[0].Ending, "finished")
			entry.withLock(func() {
				events := entry.events["a"]
				is.Equal(events[len(events)-1], wire.EventFinished)
			})
		})
	})
}
