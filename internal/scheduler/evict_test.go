package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/task"
)

// TestUrgentEviction guards against evicting more than is needed, work with the higher loss, or a watch
// while batch work suffices, and against a second eviction for the same task in the next plan.
func TestUrgentEviction(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	addRunning(&w, newRecord("far", task.KindBatch, task.PriorityLow, size(4, 8)), 900)
	lowLoss := addRunning(&w, newRecord("near", task.KindBatch, task.PriorityLow, size(4, 8)), 100)
	addRunning(&w, newRecord("watch", task.KindWatch, task.PriorityLow, size(4, 8)), 0)
	addRunning(&w, newRecord("service", task.KindService, task.PriorityLow, size(3, 8)), 0)
	s := newSnapshot(w)
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(5, 8))}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].TaskID, lowLoss.ID)
	is.Equal(plan.Unscheduled[0].Cause, CauseAwaitingEviction)
	is.NoErr(lowLoss.EvictRequested(task.Origin{Worker: w.Name, Attempt: lowLoss.Attempt, Session: w.Session}, "", now))
	s.Pending = append(s.Pending, newRecord("batch", task.KindBatch, task.PriorityNormal, size(1, 1)))
	again := MakePlan(s, newRandom())
	is.Equal(len(again.Evictions), 0)
	is.Equal(len(again.Assignments), 0)
	is.Equal(again.Unscheduled[0].Cause, CauseAwaitingEviction)
}

// TestEvictedTaskWaits guards against an old task that was evicted for urgent work and is assigned again
// before that urgent work.
func TestEvictedTaskWaits(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	evicted := newRecord("evicted", task.KindBatch, task.PriorityNormal, size(16, 60))
	evicted.CreatedAt = now.Add(-time.Hour)
	addRunning(&w, evicted, 10)
	is.NoErr(evicted.Evicted(task.Origin{Worker: w.Name, Attempt: 1, Session: w.Session}, "c", 10, now))
	urgent := newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(16, 60))
	s := newSnapshot(newWorker(0))
	s.Pending = []*task.Record{evicted, urgent}
	is.Equal(MakePlan(s, newRandom()).Assignments[0].TaskID, urgent.ID)
}

// TestEvictionChoice guards against evicting a task with a low loss that is not needed to make room, and
// against stopping a non-idempotent task whose start is not confirmed, which would make it unknown.
func TestEvictionChoice(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	addRunning(&w, newRecord("small", task.KindBatch, task.PriorityLow, size(1, 1)), 10)
	big := addRunning(&w, newRecord("big", task.KindBatch, task.PriorityLow, size(15, 8)), 100)
	s := newSnapshot(w)
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(15, 8))}
	plan := MakePlan(s, newRandom())
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].TaskID, big.ID)
	big.State, big.Spec.NonIdempotent = task.StateAssigned, true
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)
}

// TestWatchEvictedLast guards against urgent work that starves because only watches could be evicted,
// and against evicting a service for it.
func TestWatchEvictedLast(t *testing.T) {
	is := is.New(t)
	w := newWorker(0)
	watch := addRunning(&w, newRecord("watch", task.KindWatch, task.PriorityLow, size(8, 30)), 0)
	addRunning(&w, newRecord("service", task.KindService, task.PriorityLow, size(8, 30)), 0)
	s := newSnapshot(w)
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(8, 30))}
	is.Equal(MakePlan(s, newRandom()).Evictions[0].TaskID, watch.ID)
	s.Pending = []*task.Record{newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(16, 60))}
	is.Equal(len(MakePlan(s, newRandom()).Evictions), 0)
}
