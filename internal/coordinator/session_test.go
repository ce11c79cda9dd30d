package coordinator

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/link"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// TestNoStartAfterTheTerm guards against a coordinator that is paused with unsent start orders and sends them
// after another one may have taken over. Pings queued in the socket would make these orders look recent.
func TestNoStartAfterTheTerm(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	term := newTerm(Config{Now: func() time.Duration { return now }, Logger: log.New(io.Discard)}, 1, 1, now+time.Second)
	near, far := link.Pipe()
	s := &session{term: term, name: "agent"}
	s.conn.Store(&near)
	term.sessions["agent"] = s
	start := planner.Order{Agent: "agent", Message: &wire.StartRun{Task: "a.0.0.0", Run: 1}}
	stop := planner.Order{Agent: "agent", Message: &wire.StopRun{Task: "a.0.0.0", Run: 1}}

	term.sendOrder(start)
	message, err := far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStartRun)

	now += 5 * time.Second
	term.sendOrder(start)
	term.sendOrder(stop)
	message, err = far.Receive()
	is.NoErr(err)
	is.Equal(message.Kind(), wire.KindStopRun) // stop orders are sent: they are always safe
}

// agentDialer opens links to agents that report at once. It refuses the addresses without an agent.
type agentDialer map[string]bool

// Dial implements link.Dialer.
func (d agentDialer) Dial(_ context.Context, address string) (link.Conn, error) {
	if !d[address] {
		return nil, link.ErrDial
	}
	near, far := link.Pipe()
	return near, far.Send(&wire.AgentReport{})
}

// TestReplacedSessionReportsItsEnd guards against an agent that counts as connected for good, so that its tasks never
// move, because the end of its link was dropped as its record changed; and against the end of the former link that
// arrives after the report on the next one.
func TestReplacedSessionReportsItsEnd(t *testing.T) {
	const replacements = 40
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		startedAt := time.Now()
		term := newTerm(Config{
			Now: func() time.Duration { return time.Since(startedAt) }, Logger: log.New(io.Discard),
			Dialer: agentDialer{"even": true, "odd": true},
		}, 1, 1, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		term.done = ctx.Done()
		record := func(address string) {
			value, err := EncodeAgentRecord(&AgentRecord{Address: address})
			is.NoErr(err)
			term.handleAgentRecord(ctx, store.Event{KeyValue: store.KeyValue{Key: AgentKey("a"), Value: value}})
			synctest.Wait()
		}
		for i := range replacements {
			record([]string{"even", "odd"}[i%2])
		}
		record("gone")
		connected := false
		for range len(term.events) {
			e := <-term.events
			is.Equal(e.agent.down, connected) // reports and ends alternate
			connected = !e.agent.down
		}
		is.True(!connected)
		cancel()
		term.group.Wait()
	})
}

// TestNoPingReplyBeforeAReport guards against a lease that is extended for runs of which the planner has got no report,
// so that they start again elsewhere while they still run.
func TestNoPingReplyBeforeAReport(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	term := newTerm(Config{Now: func() time.Duration { return now }, Logger: log.New(io.Discard)}, 1, 1, now+time.Second)
	s := &session{term: term, name: "agent"}

	near, far := link.Pipe()
	is.NoErr(far.Send(&wire.AgentPing{Sequence: 1}))
	time.AfterFunc(time.Second, far.Close)
	is.True(!s.receive(near))
	is.Equal(s.lastReply, time.Duration(0))

	near, far = link.Pipe()
	is.NoErr(far.Send(&wire.AgentReport{}))
	is.NoErr(far.Send(&wire.AgentPing{Sequence: 1}))
	time.AfterFunc(time.Second, far.Close)
	is.True(s.receive(near))
	is.Equal(s.lastReply, now)
}
