package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/task"
)

// TestDrain guards against evicting tasks from a zone in the wrong order or without room elsewhere, and
// against a missing reason for tasks that stay.
func TestDrain(t *testing.T) {
	is := is.New(t)
	leaving, other := newWorker(1), newWorker(0)
	addRunning(&leaving, newRecord("far", task.KindBatch, task.PriorityNormal, size(4, 8)), 900)
	lowLoss := addRunning(&leaving, newRecord("near", task.KindBatch, task.PriorityNormal, size(4, 8)), 100)
	watch := addRunning(&leaving, newRecord("watch", task.KindWatch, task.PriorityNormal, size(4, 8)), 500)
	addRunning(&other, newRecord("held", task.KindBatch, task.PriorityNormal, size(8, 8)), 0)
	s := newSnapshot(other, leaving)
	s.Document = newDocument("b")
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Evictions), 2)
	is.Equal(plan.Evictions[0].TaskID, watch.ID)
	is.Equal(plan.Evictions[1].TaskID, lowLoss.ID)
	is.Equal(plan.Unscheduled[0].Cause, CauseCannotMove)
	is.Equal(plan.Unscheduled[0].Filtered, []FilterCount{{ReasonZoneOutOfService, 1}, {ReasonProcessors, 1}})
}

// TestReplicasMoveOneByOne guards against a drain that evicts all replicas of a service at once.
func TestReplicasMoveOneByOne(t *testing.T) {
	is := is.New(t)
	leaving := newWorker(1)
	for i := range 2 {
		addRunning(&leaving, newRecord(fmt.Sprintf("s%d", i), task.KindService, task.PriorityUrgent, size(1, 1)), 0).Spec.Service = "rail"
	}
	s := newSnapshot(newWorker(0), leaving)
	s.Document = newDocument("b")
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Unscheduled[0].Cause, CauseDrainLimited)
}
