package throttle

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	slow  = []Sample{{Service: "rail", Requests: MinRequests, P99: 2, Objective: 1}}
	fast  = []Sample{{Service: "rail", Requests: MinRequests, P99: 1, Objective: 1}}
	batch = []Batch{{TaskID: "a", MilliCPU: 1}, {TaskID: "b", MilliCPU: 5}, {TaskID: "c", MilliCPU: 2}}
)

// TestThrottleBeforeEvict guards against an eviction before throttling was tried to its end, against
// evicting another task than the largest, and against a burst of evictions.
func TestThrottleBeforeEvict(t *testing.T) {
	is := is.New(t)
	p := New()
	evictions := 0
	for second := range 60 {
		decision := p.Step(start.Add(time.Duration(second)*time.Second), slow, batch)
		if decision.Evict != nil {
			evictions++
			is.Equal(decision.Share, MinShare)
			is.Equal(decision.Evict.TaskID, "b")
		}
	}
	is.True(evictions >= 2 && evictions <= 6)
}

// TestRestoreSlowly guards against giving processors back at once, which makes latency oscillate.
func TestRestoreSlowly(t *testing.T) {
	is := is.New(t)
	p := New()
	is.Equal(p.Step(start, slow, batch).Share, 650)
	is.Equal(p.Step(start.Add(time.Second), slow, batch).Share, 650) // not settled
	is.Equal(p.Step(start.Add(calmTime), fast, batch).Share, 650)
	is.Equal(p.Step(start.Add(calmTime+time.Second), fast, batch).Share, 750)
	is.Equal(p.Step(start.Add(calmTime+2*time.Second), fast, batch).Share, 750)
	is.Equal(p.Step(start.Add(time.Hour), fast, batch).Share, 850)
}

// TestFewRequests guards against throttling because of a handful of requests.
func TestFewRequests(t *testing.T) {
	few := []Sample{{Service: "rail", Requests: MinRequests - 1, P99: 2, Objective: 1}}
	is.New(t).Equal(New().Step(start, few, batch).Share, FullShare)
}

// TestShareStaysInRange guards against a share outside its limits and against a change while no batch
// task runs.
func TestShareStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(), start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			samples := rapid.SampledFrom([][]Sample{slow, fast, nil}).Draw(t, "samples")
			tasks := rapid.SampledFrom([][]Batch{batch, nil}).Draw(t, "tasks")
			before := p.Share()
			decision := p.Step(now, samples, tasks)
			if decision.Share < MinShare || decision.Share > FullShare {
				t.Fatalf("share %d", decision.Share)
			}
			if decision.Share < before && len(tasks) == 0 || decision.Evict != nil && len(tasks) == 0 {
				t.Fatalf("acted without a task")
			}
		}
	})
}
