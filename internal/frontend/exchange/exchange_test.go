package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementineflow/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model tracks the true outcome of each attempt, independently of the exchange.
type model struct {
	t        *rapid.T
	exchange *Exchange
	now      time.Time
	choosing bool
	finished int
	// open contains the attempts that are not known to the exchange to be "not run".
	open       map[uint32]bool
	sends      int
	receivedBy map[uint32]string // incarnation that received each attempt
	result     Result
}

func (m *model) step(event Event) {
	m.perform(m.exchange.Step(m.now, event))
}

func (m *model) perform(actions []Action) {
	for _, action := range actions {
		if m.finished > 0 {
			m.t.Fatalf("action %T after the result", action)
		}
		switch action := action.(type) {
		case ChooseWorker:
			m.choosing = true
		case CancelChoice:
			m.choosing = false
		case Send:
			if !m.exchange.Idempotent() && len(m.open) > 0 {
				m.t.Fatalf("non-idempotent request sent again with open attempts %v", m.open)
			}
			if !m.now.Before(m.exchange.spec.Deadline) {
				m.t.Fatalf("sent after the deadline")
			}
			m.sends++
			m.open[action.Attempt] = true
			m.receivedBy[action.Attempt] = action.Incarnation
		case Finish:
			m.finished++
			m.result = action.Result
			if action.Result.Outcome == wire.OutcomeNotRun && len(m.open) > 0 {
				m.t.Fatalf("not run reported with open attempts %v", m.open)
			}
		}
	}
}

// TestExchange guards against a second answer, a "not run" that is not certain, and a second send of a
// non-idempotent request without a certain "not run".
func TestExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start, open: make(map[uint32]bool), receivedBy: make(map[uint32]string)}
		spec := Spec{Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: start.Add(time.Second)}
		var actions []Action
		m.exchange, actions = New(spec)
		m.perform(actions)
		workers := rapid.SampledFrom([]string{"a", "b"})
		incarnations := rapid.SampledFrom([]string{"1", "2"})
		outcomes := rapid.SampledFrom([]wire.Outcome{wire.OutcomeAnswered, wire.OutcomeNotRun, wire.OutcomeUnknown, wire.OutcomeRunning})
		t.Repeat(map[string]func(*rapid.T){
			"chosen": func(t *rapid.T) {
				if !m.choosing {
					t.Skip("not choosing")
				}
				m.choosing = false
				sends := m.sends
				m.step(WorkerChosen{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")})
				// A message that could not be queued fails before any other event.
				if m.sends > sends && rapid.Bool().Draw(t, "sendFails") {
					delete(m.open, m.exchange.Attempt())
					m.step(SendFailed{m.exchange.Attempt()})
				}
			},
			"noWorker": func(t *rapid.T) {
				if !m.choosing {
					t.Skip("not choosing")
				}
				m.choosing = false
				m.step(NoWorker{Cause: CauseBudget})
			},
			"replied": func(t *rapid.T) {
				reply := &wire.RequestReply{
					Attempt: rapid.Uint32Range(0, m.exchange.Attempt()).Draw(t, "attempt"),
					Outcome: outcomes.Draw(t, "outcome"),
					Reason:  rapid.SampledFrom([]wire.NotRunReason{wire.NotRunBusy, wire.NotRunCancelled}).Draw(t, "reason"),
				}
				worker := workers.Draw(t, "worker")
				// A late "not run" of an earlier attempt is ignored, so that the attempt stays open in the model.
				if m.exchange.IsOpenAt(worker) && reply.Attempt == m.exchange.Attempt() && reply.Outcome == wire.OutcomeNotRun {
					delete(m.open, reply.Attempt)
				}
				m.step(ReplyReceived{worker, reply})
			},
			"linkLost": func(t *rapid.T) { m.step(LinkLost{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")}) },
			"connected": func(t *rapid.T) {
				m.step(WorkerConnected{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")})
			},
			"callerGone": func(*rapid.T) { m.step(CallersGone{}) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				m.step(Tick{})
			},
			"": func(t *rapid.T) {
				if m.exchange.Finished() != (m.finished == 1) {
					t.Fatalf("finished %v after %d results", m.exchange.Finished(), m.finished)
				}
				if m.finished == 0 && m.now.After(spec.Deadline.Add(2*OutcomeGrace+400*time.Millisecond)) {
					m.step(Tick{})
				}
			},
		})
		for range 3 {
			if wake := m.exchange.NextWake(); wake.After(m.now) {
				m.now = wake
			}
			m.step(Tick{})
		}
		if m.finished != 1 {
			t.Fatalf("no result by the end of the grace period")
		}
	})
}

// newSentExchange returns a request that was sent to worker a, incarnation 1, and waits for the reply.
func newSentExchange(idempotent bool) *Exchange {
	e, _ := New(Spec{Idempotent: idempotent, Deadline: start.Add(time.Second)})
	e.Step(start, WorkerChosen{"a", "1"})
	return e
}

// TestReconnect guards against a reconnected worker that is not queried for the outcome, and against a
// query to another incarnation.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	e := newSentExchange(false)
	is.Equal(len(e.Step(start, LinkLost{"a", "1"})), 0)
	is.Equal(e.Step(start, WorkerConnected{"a", "1"}), []Action{Query{"a", "1", 1}})
	actions := e.Step(start, WorkerConnected{"a", "2"})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeUnknown)
}

// TestPatience guards against an idempotent request that waits until its deadline for a worker to
// reconnect, and against the loss of the first attempt's answer while no other worker is found.
func TestPatience(t *testing.T) {
	is := is.New(t)
	e := newSentExchange(true)
	e.Step(start, LinkLost{"a", "1"})
	is.Equal(e.NextWake(), start.Add(ReconnectTimeout))
	is.Equal(e.Step(start.Add(ReconnectTimeout), Tick{}), []Action{ChooseWorker{Retry: true}})
	is.Equal(len(e.Step(start.Add(ReconnectTimeout), NoWorker{Cause: CauseBudget})), 0)
	actions := e.Step(start.Add(ReconnectTimeout), ReplyReceived{"a", &wire.RequestReply{Attempt: 1, Outcome: wire.OutcomeAnswered}})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeAnswered)
}

// TestGrace guards against a result at the deadline before the worker was queried for the outcome, and
// against a caller that waits longer than the grace period.
func TestGrace(t *testing.T) {
	is := is.New(t)
	e := newSentExchange(false)
	deadline := start.Add(time.Second)
	is.Equal(e.NextWake(), deadline)
	is.Equal(e.Step(deadline, Tick{}), []Action{Cancel{"a", "1", 1}, Query{"a", "1", 1}})
	is.Equal(e.NextWake(), deadline.Add(250*time.Millisecond))
	actions := e.Step(deadline.Add(OutcomeGrace), Tick{})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeUnknown)
	is.Equal(len(e.Step(deadline.Add(OutcomeGrace), ReplyReceived{"a", &wire.RequestReply{Attempt: 1, Outcome: wire.OutcomeAnswered}})), 0)
}
