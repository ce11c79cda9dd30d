package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementineflow/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// answeredReply returns a complete answer with a body of the given size.
func answeredReply(id string, size int) wire.RequestReply {
	return wire.RequestReply{ID: id, Attempt: 1, Outcome: wire.OutcomeAnswered, Status: 200, Body: make([]byte, size)}
}

// TestAttempts guards against running a request twice, and against a refusal that prevents a retry with a
// higher attempt.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	l := New()
	deadline := after(2 * time.Second)
	is.True(l.Refuse(start, "r", 2, wire.NotRunBusy, deadline))
	for _, attempt := range []uint32{1, 2} {
		decision, reply := l.Lookup(start, "r", attempt)
		is.Equal(decision, Reply)
		is.Equal(reply.Reason, wire.NotRunBusy)
	}
	decision, _ := l.Lookup(start, "r", 3)
	is.Equal(decision, Accept)
	is.True(l.Begin(start, "r", 3, deadline))
	decision, _ = l.Lookup(start, "r", 3)
	is.Equal(decision, Attach)
	is.Equal(l.Query(start, wire.RequestKey{ID: "r", Attempt: 3, RemainingMillis: 1}).Outcome, wire.OutcomeRunning)
	l.Finish(start, answeredReply("r", 10))
	decision, reply := l.Lookup(start, "r", 4)
	is.Equal(decision, Reply)
	is.Equal(reply.Attempt, uint32(4))
	is.Equal(len(reply.Body), 10)
}

// TestNotRunFinishAllowsRetry guards against treating a request whose connection was refused as one that
// ran.
func TestNotRunFinishAllowsRetry(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(l.Begin(start, "r", 1, after(time.Second)))
	l.Finish(start, wire.RequestReply{ID: "r", Attempt: 1, Outcome: wire.OutcomeNotRun, Reason: wire.NotRunConnect})
	decision, _ := l.Lookup(start, "r", 1)
	is.Equal(decision, Reply)
	decision, _ = l.Lookup(start, "r", 2)
	is.Equal(decision, Accept)
}

// TestDroppedAnswerIsUnknown guards against answering "never seen" for a request that ran and whose answer
// was dropped because of its size or age, or whose deadline has passed.
func TestDroppedAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	l := New()
	const size = 4 << 20
	for i := range 5 {
		id := fmt.Sprint(i)
		is.True(l.Begin(start, id, 1, after(time.Minute)))
		l.Finish(start, answeredReply(id, size))
	}
	is.True(l.AnswerBytes() <= MaxAnswerBytes)
	key := wire.RequestKey{ID: "0", Attempt: 1, RemainingMillis: 1000}
	is.Equal(l.Query(start, key).Outcome, wire.OutcomeUnknown)
	key.ID = "4"
	is.Equal(l.Query(start, key).Outcome, wire.OutcomeAnswered)
	is.Equal(l.Query(after(AnswerRetention), key).Outcome, wire.OutcomeUnknown)
	key.RemainingMillis = 0
	is.Equal(l.Query(after(2*time.Minute), key).Outcome, wire.OutcomeUnknown)
	is.Equal(l.Len(), 0)
}

// TestNeverSeenIsRefused guards against running a delayed copy of a request after a query was answered
// with "not run".
func TestNeverSeenIsRefused(t *testing.T) {
	is := is.New(t)
	l := New()
	reply := l.Query(start, wire.RequestKey{ID: "r", Attempt: 1, RemainingMillis: 1000})
	is.Equal(reply.Reason, wire.NotRunNotReceived)
	decision, _ := l.Lookup(after(time.Second+DeadlineMargin-1), "r", 1)
	is.Equal(decision, Reply)
}

// TestBounded guards against unbounded memory, and against removing an entry before it expires.
func TestBounded(t *testing.T) {
	is := is.New(t)
	l := New()
	deadline := after(time.Second)
	accepted := 0
	for i := range 2 * MaxEntries {
		id := fmt.Sprint(i)
		if !l.Begin(start, id, 1, deadline) {
			break
		}
		l.Finish(start, answeredReply(id, 1))
		accepted++
	}
	is.Equal(accepted, MaxEntries-refusalReserve)
	decision, _ := l.Lookup(start, "0", 1)
	is.Equal(decision, Reply)
	is.True(l.Refuse(start, "x", 1, wire.NotRunBusy, deadline))
	expired := deadline.Add(DeadlineMargin)
	is.True(l.Begin(expired, "y", 1, after(time.Minute))) // expired requests make room
	is.True(l.Len() <= MaxEntries)
	for i := 0; l.Refuse(expired, fmt.Sprint("z", i), 1, wire.NotRunBusy, after(time.Minute)); i++ {
		is.True(i < MaxEntries)
	}
	key := wire.RequestKey{ID: "new", Attempt: 1, RemainingMillis: 1000}
	is.Equal(l.Query(expired, key).Outcome, wire.OutcomeUnknown)
}

// TestRunsAtMostOnce guards against any order of copies, queries and refusals in which a request runs
// twice, or runs after "not run" was returned for the same or a higher attempt.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := start
		deadline := after(20 * time.Second)
		ran := map[string]bool{}
		running := map[string]uint32{}
		notRun := map[string]uint32{}
		id := func() string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id") }
		attempt := func() uint32 { return rapid.Uint32Range(1, 4).Draw(t, "attempt") }
		checkOutcome := func(reply wire.RequestReply) {
			if reply.Outcome != wire.OutcomeNotRun {
				return
			}
			if ran[reply.ID] || running[reply.ID] > 0 {
				t.Fatalf("%s: reported as not run, but it ran", reply.ID)
			}
			notRun[reply.ID] = max(notRun[reply.ID], reply.Attempt)
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(_ *rapid.T) {
				id, attempt := id(), attempt()
				decision, reply := l.Lookup(now, id, attempt)
				if decision == Reply {
					checkOutcome(reply)
				}
				if decision != Accept || !now.Before(deadline) || !l.Begin(now, id, attempt, deadline) {
					return
				}
				if ran[id] || running[id] > 0 || attempt <= notRun[id] {
					t.Fatalf("%s: attempt %d runs again", id, attempt)
				}
				running[id] = attempt
			},
			"query": func(_ *rapid.T) {
				key := wire.RequestKey{ID: id(), Attempt: attempt(), RemainingMillis: deadline.Sub(now).Milliseconds()}
				checkOutcome(l.Query(now, key))
			},
			"finish": func(_ *rapid.T) {
				id := id()
				if running[id] == 0 {
					return
				}
				reply := answeredReply(id, 5<<20)
				reply.Outcome = rapid.SampledFrom([]wire.Outcome{wire.OutcomeAnswered, wire.OutcomeUnknown, wire.OutcomeNotRun}).Draw(t, "outcome")
				reply.Attempt = running[id]
				delete(running, id)
				ran[id] = reply.Outcome != wire.OutcomeNotRun
				l.Finish(now, reply)
				checkOutcome(reply)
			},
			"wait": func(_ *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

// TestRunningOutlivesFence guards against a request that was refused, runs with a higher attempt, and is
// removed when its refusal expires although it is still running.
func TestRunningOutlivesFence(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(l.Refuse(start, "r", 1, wire.NotRunBusy, after(time.Second)))
	is.True(l.Begin(start, "r", 2, after(time.Second)))
	decision, _ := l.Lookup(after(time.Minute), "r", 2)
	is.Equal(decision, Attach)
}
