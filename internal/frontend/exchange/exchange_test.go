package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementineflow/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model holds what really happened to each attempt, beside the exchange.
type model struct {
	t        *rapid.T
	exchange *Exchange
	now      time.Time
	choosing bool
	finished int
	// open is the number of attempts whose outcome the exchange cannot know to be "not run".
	open     map[uint32]bool
	sends    int
	receives map[uint32]string // attempt to the incarnation that got it
	result   Result
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
		case Choose:
			m.choosing = true
		case Abandon:
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
			m.receives[action.Attempt] = action.Incarnation
		case Finish:
			m.finished++
			m.result = action.Result
			if action.Result.Outcome == wire.OutcomeNotRun && len(m.open) > 0 {
				m.t.Fatalf("not run is said with open attempts %v", m.open)
			}
		}
	}
}

// TestExchange guards against a second answer, a "not run" that is not certain, and a second send of a
// non-idempotent request without a certain "not run".
func TestExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start, open: make(map[uint32]bool), receives: make(map[uint32]string)}
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
				m.step(Chosen{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")})
				// A message that was not queued fails at once, before any other event.
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
				// A late "not run" of an earlier attempt is dropped; the attempt stays open to the model.
				if m.exchange.At(worker) && reply.Attempt == m.exchange.Attempt() && reply.Outcome == wire.OutcomeNotRun {
					delete(m.open, reply.Attempt)
				}
				m.step(Replied{worker, reply})
			},
			"linkLost":   func(t *rapid.T) { m.step(LinkLost{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")}) },
			"connected":  func(t *rapid.T) { m.step(Connected{workers.Draw(t, "worker"), incarnations.Draw(t, "incarnation")}) },
			"callerGone": func(*rapid.T) { m.step(CallerGone{}) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				m.step(Tick{})
			},
			"": func(t *rapid.T) {
				if m.exchange.Finished() != (m.finished == 1) {
					t.Fatalf("finished %v after %d results", m.exchange.Finished(), m.finished)
				}
				if m.finished == 0 && m.now.After(spec.Deadline.Add(2*Grace+400*time.Millisecond)) {
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
			t.Fatalf("no result by the end of the grace")
		}
	})
}

// begin returns a request that was sent to worker a, incarnation 1.
func begin(idempotent bool) *Exchange {
	e, _ := New(Spec{Idempotent: idempotent, Deadline: start.Add(time.Second)})
	e.Step(start, Chosen{"a", "1"})
	return e
}

// TestReconnect guards against a request whose outcome is not asked for on a new link, and against
// another incarnation being asked.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	e := begin(false)
	is.Equal(len(e.Step(start, LinkLost{"a", "1"})), 0)
	is.Equal(e.Step(start, Connected{"a", "1"}), []Action{Query{"a", "1", 1}})
	actions := e.Step(start, Connected{"a", "2"})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeUnknown)
}

// TestPatience guards against an idempotent request that waits for a lost link until its deadline, and
// against the loss of the first attempt's answer while no other worker is found.
func TestPatience(t *testing.T) {
	is := is.New(t)
	e := begin(true)
	e.Step(start, LinkLost{"a", "1"})
	is.Equal(e.NextWake(), start.Add(Patience))
	is.Equal(e.Step(start.Add(Patience), Tick{}), []Action{Choose{Retry: true}})
	is.Equal(len(e.Step(start.Add(Patience), NoWorker{Cause: CauseBudget})), 0)
	actions := e.Step(start.Add(Patience), Replied{"a", &wire.RequestReply{Attempt: 1, Outcome: wire.OutcomeAnswered}})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeAnswered)
}

// TestGrace guards against a request that is reported before the worker was asked for its outcome, and
// against a caller that waits longer than the grace.
func TestGrace(t *testing.T) {
	is := is.New(t)
	e := begin(false)
	deadline := start.Add(time.Second)
	is.Equal(e.NextWake(), deadline)
	is.Equal(e.Step(deadline, Tick{}), []Action{Cancel{"a", "1", 1}, Query{"a", "1", 1}})
	is.Equal(e.NextWake(), deadline.Add(250*time.Millisecond))
	actions := e.Step(deadline.Add(Grace), Tick{})
	is.Equal(actions[len(actions)-1].(Finish).Result.Outcome, wire.OutcomeUnknown)
	is.Equal(len(e.Step(deadline.Add(Grace), Replied{"a", &wire.RequestReply{Attempt: 1, Outcome: wire.OutcomeAnswered}})), 0)
}
