package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/task"
)

// TestObservedUse guards against overloading a worker with tasks whose declared sizes are too small, and
// against placing more than the declared sizes allow when the observed use is lower.
func TestObservedUse(t *testing.T) {
	is := is.New(t)
	countPlaced := func(sizes *SizeEstimator) int {
		s := newSnapshot(newWorker(0))
		s.Sizes = sizes
		for i := range 20 {
			s.Pending = append(s.Pending, newRecord(fmt.Sprintf("j%d", i), task.KindBatch, task.PriorityNormal, size(2, 2)))
		}
		return len(MakePlan(s, newRandom()).Assignments)
	}
	is.Equal(countPlaced(NewSizeEstimator()), 8)
	highUse, lowUse := NewSizeEstimator(), NewSizeEstimator()
	for range 50 {
		highUse.Observe("t0", "c0", size(2, 2), size(4, 2))
		lowUse.Observe("t0", "c0", size(2, 2), size(1, 1))
	}
	is.Equal(countPlaced(highUse), 4)
	is.Equal(countPlaced(lowUse), 8)
	is.Equal(lowUse.ExpectedUse("t0", "c0", size(10, 10)), size(6, 6))
	oneObservation := NewSizeEstimator()
	oneObservation.Observe("t0", "c0", size(2, 2), size(1, 1))
	is.Equal(oneObservation.ExpectedUse("t0", "c0", size(10, 10)), size(10, 10))
}

// TestUrgentObservedUse guards against urgent work that starves, or causes repeated evictions, when the
// declared sizes leave room but the observed use does not.
func TestUrgentObservedUse(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(newWorker(0))
	s.Sizes = NewSizeEstimator()
	for range 50 {
		s.Sizes.Observe("t0", "c0", size(2, 2), size(4, 2))
	}
	for i := range 4 {
		addRunning(&s.Workers[0], newRecord(fmt.Sprintf("b%d", i), task.KindBatch, task.PriorityNormal, size(2, 2)), 100*(4-i))
	}
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(2, 2))}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].TaskID, "batch/t0/b3")

	s.Workers[0].AssignedTasks[3].Record.State = task.StateEvicting // the next plan waits for this eviction
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)

	s.Workers[0].AssignedTasks = s.Workers[0].AssignedTasks[:3]
	is.Equal(len(MakePlan(s, newRandom()).Assignments), 1)
}
