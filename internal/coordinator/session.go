package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// session maintains the link to one agent.
type session struct {
	term    *term
	name    string
	address string
	cancel  context.CancelFunc
	// ended is closed once the session has posted its last event.
	ended chan struct{}
	// conn is the open link, or nil.
	conn atomic.Pointer[link.Conn]
	// lastPing is the sequence number of the agent's latest ping.
	lastPing atomic.Uint64
	// lastReply is the time of the last ping reply on the link; only the session's own goroutine uses it.
	lastReply time.Duration
	// acknowledgedAt is the time of the last ping reply on any link to the agent in the term. It may be read once ended is
	// closed.
	acknowledgedAt time.Duration
	// recordRevision is the revision of the agent's record.
	recordRevision atomic.Uint64
	// reachedAt is when the agent was last known to be reachable, in nanoseconds of Config.Now.
	reachedAt atomic.Int64
}

// handleAgentRecord starts, replaces or stops the session of an agent whose record changed.
func (t *term) handleAgentRecord(ctx context.Context, change store.Event) {
	name := change.Key[len(agentPrefix):]
	old := t.sessions[name]
	if change.Deleted {
		if old != nil {
			// The session stays in the map, so that one for a later record waits for its end.
			old.cancel()
			old.address = ""
		}
		return
	}
	record, err := wire.Unmarshal[AgentRecord](change.Value)
	if err == nil && (name == "" || record.Address == "") {
		err = errInvalidAgentRecord
	}
	if err != nil {
		store.ReportMalformed(t.config.Logger, "agents", change.Key, err)
		return
	}
	if old != nil {
		if old.address == record.Address {
			old.recordRevision.Store(uint64(change.Revision))
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &session{term: t, name: name, address: record.Address, cancel: cancel, ended: make(chan struct{})}
	s.reachedAt.Store(int64(t.config.Now()))
	s.recordRevision.Store(uint64(change.Revision))
	t.sessions[name] = s
	t.group.Go(func() {
		defer close(s.ended)
		if old != nil {
			// Otherwise the end of the former link could follow the report on the next one.
			<-old.ended
			s.acknowledgedAt = old.acknowledgedAt
		}
		contain.RunWithRestart(ctx, t.config.Logger, "link to agent "+name, s.run)
	})
}

// sendOrder sends an order on the link to its agent. Without a link the order is dropped: the agent's report
// on its next link shows the planner what is missing.
func (t *term) sendOrder(order planner.Order) {
	s := t.sessions[order.Agent]
	if s == nil {
		return
	}
	open := s.conn.Load()
	if open == nil {
		return
	}
	if start, ok := order.Message.(*wire.StartRun); ok {
		if !t.valid() {
			// The process may have been paused after the planner's decision. Another coordinator may have decided
			// otherwise meanwhile, and pings queued during the pause would make this order look recent.
			t.config.Logger.Warn("start order dropped: the term may have ended", "task", start.Task, "run", start.Run, "agent", s.name)
			return
		}
		start.LastPing = s.lastPing.Load()
	}
	if err := (*open).Send(order.Message); err != nil {
		t.config.Logger.Warn("order not sent, closing the link", "agent", s.name, "error", err)
		(*open).Close()
		return
	}
	if order.Message.Kind() == wire.KindStartRun && t.phases != nil {
		t.phases.reach(phaseStarted, t.config.Now())
	}
}

// run reconnects to the agent until the context ends, with exponential backoff while the agent does not accept.
func (s *session) run(ctx context.Context) {
	delay := firstDialDelay
	for ctx.Err() == nil {
		if s.connect(ctx) {
			delay = firstDialDelay
		}
		s.removeUnreachable(ctx)
		if !wait.Sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxDialDelay)
	}
}

// connect opens a link, serves it until it ends and reports whether the agent accepted it.
func (s *session) connect(ctx context.Context) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := s.term.config.Dialer.Dial(dial, s.address)
	cancel()
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer conn.Close()
	hello := &wire.CoordinatorHello{Term: s.term.number, Fence: s.term.number<<fenceShift + s.term.fences.Add(1), Agent: s.name}
	if err := conn.Send(hello); err != nil {
		return false
	}
	s.lastPing.Store(0)
	s.conn.Store(&conn)
	s.lastReply = 0
	// Always report the end of the link, also that of a session that was cancelled; otherwise the worker would count as
	// reachable forever.
	defer func() {
		s.conn.Store(nil)
		s.reachedAt.Store(int64(s.term.config.Now()))
		s.term.post(event{agent: &agentEvent{name: s.name, down: true, lastReply: s.lastReply}})
	}()
	return s.receive(conn)
}

// fenceShift is the number of low bits of a fence that number the links of one term (about a million).
const fenceShift = 20

// receive posts the agent's messages to the event loop until the link ends. It reports whether any message
// arrived: an agent refuses the link of an older term by closing it without a message.
func (s *session) receive(conn link.Conn) (accepted bool) {
	for {
		message, err := conn.Receive()
		if err != nil {
			s.term.config.Logger.Warn("link to agent ended", "agent", s.name, "accepted", accepted, "error", err)
			return accepted
		}
		if _, ok := message.(*wire.AgentReport); !accepted && !ok {
			// A ping reply extends the lease of runs that the planner knows only from a report.
			s.term.config.Logger.Warn("link to agent did not begin with a report, closing it", "agent", s.name, "kind", message.Kind())
			return false
		}
		accepted = true
		ping, ok := message.(*wire.AgentPing)
		if !ok {
			s.term.post(event{agent: &agentEvent{name: s.name, message: message}})
			continue
		}
		s.lastPing.Store(ping.Sequence)
		if !s.term.valid() {
			continue
		}
		s.lastReply = s.term.config.Now()
		s.acknowledgedAt = s.lastReply
		if err := conn.Send(&wire.PingReply{Sequence: ping.Sequence}); err != nil {
			return accepted
		}
	}
}

// removeUnreachable deletes the record of an agent that has been unreachable for agentRecordRetention.
func (s *session) removeUnreachable(ctx context.Context) {
	if s.term.config.Now()-time.Duration(s.reachedAt.Load()) < agentRecordRetention {
		return
	}
	s.reachedAt.Store(int64(s.term.config.Now()))
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.term.config.Store.Commit(call, store.Transaction{
		Conditions: []store.Condition{
			{Key: leaderKey, Revision: store.Revision(s.term.number)},
			// The agent may write its record again at the same time.
			{Key: AgentKey(s.name), Revision: store.Revision(s.recordRevision.Load())},
		},
		Deletes: []string{AgentKey(s.name)},
	})
	s.term.config.Logger.Info("agent record removed", "agent", s.name, "error", err)
}
