package throttle

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	startTime   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	slowSamples = []LatencySample{{Service: "rail", Requests: MinRequests, P99: 2, Objective: 1}}
	fastSamples = []LatencySample{{Service: "rail", Requests: MinRequests, P99: 1, Objective: 1}}
	batchTasks  = []BatchTask{{TaskID: "a", MilliCPU: 1}, {TaskID: "b", MilliCPU: 5}, {TaskID: "c", MilliCPU: 2}}
)

// TestThrottleBeforeEvict guards against an eviction before the share has reached MinShare, against
// evicting another task than the largest, and against evictions in quick succession.
func TestThrottleBeforeEvict(t *testing.T) {
	is := is.New(t)
	p := New()
	evictions := 0
	for second := range 60 {
		decision := p.Step(startTime.Add(time.Duration(second)*time.Second), slowSamples, batchTasks)
		if decision.Evict != nil {
			evictions++
			is.Equal(decision.Share, MinShare)
			is.Equal(decision.Evict.TaskID, "b")
		}
	}
	is.True(evictions >= 2 && evictions <= 6)
}

// TestRestoreSlowly guards against restoring the full share at once, which makes latency oscillate.
func TestRestoreSlowly(t *testing.T) {
	is := is.New(t)
	p := New()
	is.Equal(p.Step(startTime, slowSamples, batchTasks).Share, 650)
	is.Equal(p.Step(startTime.Add(time.Second), slowSamples, batchTasks).Share, 650) // within reductionInterval
	is.Equal(p.Step(startTime.Add(restorationDelay), fastSamples, batchTasks).Share, 650)
	is.Equal(p.Step(startTime.Add(restorationDelay+time.Second), fastSamples, batchTasks).Share, 750)
	is.Equal(p.Step(startTime.Add(restorationDelay+2*time.Second), fastSamples, batchTasks).Share, 750)
	is.Equal(p.Step(startTime.Add(time.Hour), fastSamples, batchTasks).Share, 850)
}

// TestFewRequests guards against throttling based on fewer than MinRequests requests.
func TestFewRequests(t *testing.T) {
	few := []LatencySample{{Service: "rail", Requests: MinRequests - 1, P99: 2, Objective: 1}}
	is.New(t).Equal(New().Step(startTime, few, batchTasks).Share, FullShare)
}

// TestShareStaysInRange guards against a share outside its limits, and against a reduction or an eviction
// while no batch task runs.
func TestShareStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(), startTime
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			samples := rapid.SampledFrom([][]LatencySample{slowSamples, fastSamples, nil}).Draw(t, "samples")
			tasks := rapid.SampledFrom([][]BatchTask{batchTasks, nil}).Draw(t, "tasks")
			before := p.Share()
			decision := p.Step(now, samples, tasks)
			if decision.Share < MinShare || decision.Share > FullShare {
				t.Fatalf("share %d", decision.Share)
			}
			if decision.Share < before && len(tasks) == 0 || decision.Evict != nil && len(tasks) == 0 {
				t.Fatalf("reduced the share or evicted without a batch task")
			}
		}
	})
}
