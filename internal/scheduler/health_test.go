package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/task"
)

// TestFailedElsewhere guards against retrying a batch task on the worker where it failed.
func TestFailedElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(newWorker(0))
	r := newRecord("batch", task.KindBatch, task.PriorityNormal, size(2, 2))
	r.Failures = []task.Failure{{Worker: "w0", Attempt: 1}}
	s.Pending = []*task.Record{r}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Assignments), 0)
	is.Equal(plan.Unscheduled[0].Filtered, []FilterCount{{ReasonFailedHere, 1}})
}

// TestHealth guards against a faulty worker that keeps receiving tasks or is never probed again, and
// against quarantining most workers because of one faulty job.
func TestHealth(t *testing.T) {
	is := is.New(t)
	h := NewHealthTracker()
	for i := range 3 {
		is.Equal(h.Status("w0", now), HealthGood)
		h.RecordFailure("w0", fmt.Sprint(i), 9, now)
	}
	is.Equal(h.Status("w0", now), HealthQuarantined)
	probeAt := now.Add(firstProbeDelay)
	is.Equal(h.Status("w0", probeAt), HealthProbe)
	h.RecordProbe("w0", probeAt)
	is.Equal(h.Status("w0", probeAt), HealthQuarantined)
	h.RecordFailure("w0", "probe", 9, probeAt)
	is.Equal(h.Status("w0", probeAt.Add(firstProbeDelay)), HealthQuarantined)
	is.Equal(h.Status("w0", probeAt.Add(2*firstProbeDelay)), HealthProbe)
	h.RecordSuccess("w0", now.Add(-time.Hour))
	is.Equal(h.Status("w0", now), HealthQuarantined)
	h.RecordSuccess("w0", probeAt)
	is.Equal(h.Status("w0", now), HealthGood)
	quarantined := 0
	for w := range 9 {
		name := fmt.Sprintf("w%d", w)
		for i := range 5 {
			h.RecordFailure(name, fmt.Sprint(i), 9, now)
		}
		if h.Status(name, now) == HealthQuarantined {
			quarantined++
		}
	}
	is.True(quarantined >= 1 && quarantined <= 3)
}

// TestProbeTakesOne guards against assigning several tasks to a worker that is being probed.
func TestProbeTakesOne(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	w.Health = HealthProbe
	s := newSnapshot(w)
	for i := range 4 {
		s.Pending = append(s.Pending, newRecord(fmt.Sprintf("j%d", i), task.KindBatch, task.PriorityNormal, size(1, 1)))
	}
	is.Equal(len(MakePlan(s, newRandom()).Assignments), 1)
}
