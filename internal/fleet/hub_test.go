package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/configuration"
	"clementineflow/internal/lease"
	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

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
