package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// TestFairShare guards against a team that gets more than its weighted share while others wait.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(newWorker(0), newWorker(1))
	for i := range 64 {
		r := newRecord(fmt.Sprintf("j%d", i), task.KindBatch, task.PriorityNormal, size(1, 1))
		r.Spec.Team = []string{"t0", "t2"}[i/32] // weights 1 and 3
		r.ID = r.Spec.ID()
		s.Pending = append(s.Pending, r)
	}
	teams := map[string]int{}
	for _, a := range MakePlan(s, newRandom()).Assignments {
		teams[a.TaskID[6:8]]++
	}
	is.Equal(teams, map[string]int{"t0": 8, "t2": 24})
}

// TestUrgentWithinQuota guards against urgent work that waits for the completion of lower-priority work
// while its team's quota is used up, against evicting another team's work for it, and against a second
// eviction while the first is in progress.
func TestUrgentWithinQuota(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	otherTeam := newRecord("foreign", task.KindBatch, task.PriorityLow, size(2, 4))
	otherTeam.Spec.Team = "t1"
	addRunning(&w, otherTeam, 1)
	addRunning(&w, newRecord("costly", task.KindBatch, task.PriorityNormal, size(4, 8)), 900)
	cheap := addRunning(&w, newRecord("cheap", task.KindBatch, task.PriorityNormal, size(4, 8)), 10)
	s := newSnapshot(w)
	s.Document.Teams[0].Quota = size(8, 0)
	s.TeamUse = map[string]resource.Quantity{"t0": size(8, 16)}
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(3, 4))}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Assignments), 0) // the quota is not exceeded
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].TaskID, cheap.ID)

	_ = cheap.EvictRequested(task.Origin{Worker: w.Name, Attempt: cheap.Attempt, Session: w.Session}, "", now)
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)

	s.Pending = []*task.Record{newRecord("normal", task.KindBatch, task.PriorityNormal, size(3, 4))}
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0) // only urgent work causes evictions
}

// TestUrgentAwaitsOwnQuota guards against urgent work that waits for the completion of its own team's
// batch work while the quota is used up, and against evicting another team's work for it.
func TestUrgentAwaitsOwnQuota(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(newWorker(0))
	s.Document.Teams[0].Quota = size(8, 0)
	s.TeamUse = map[string]resource.Quantity{"t0": size(8, 8)}
	addRunning(&s.Workers[0], newRecord("dear", task.KindBatch, task.PriorityNormal, size(4, 4)), 900)
	cheap := addRunning(&s.Workers[0], newRecord("cheap", task.KindBatch, task.PriorityNormal, size(4, 4)), 100)
	other := newRecord("other", task.KindBatch, task.PriorityNormal, size(4, 4))
	other.Spec.Team = "t1"
	addRunning(&s.Workers[0], other, 1)
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(3, 3))}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Assignments), 0)
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].TaskID, cheap.ID)
	is.Equal(plan.Unscheduled[0].Cause, CauseAwaitingEviction)

	cheap.State = task.StateEvicting // the next plan waits for this eviction
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)

	s.Pending[0].Spec.Size = size(9, 3) // larger than the whole quota
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)
}
