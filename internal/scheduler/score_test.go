package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/interference"
	"clementineflow/internal/task"
)

// TestSpreadOutweighsScores guards against placing a whole spread group in one zone because its workers
// have higher scores.
func TestSpreadOutweighsScores(t *testing.T) {
	is := is.New(t)
	crowded, other := newWorker(0), newWorker(1)
	for i := range 2 {
		addRunning(&crowded, newRecord(fmt.Sprintf("m%d", i), task.KindBatch, task.PriorityNormal, size(1, 1)), 0).Spec.SpreadGroup = "g"
	}
	other.LatencyRatio = 9
	s := newSnapshot(crowded, other)
	pending := newRecord("m2", task.KindBatch, task.PriorityNormal, size(1, 1))
	pending.Spec.SpreadGroup = "g"
	s.Pending = []*task.Record{pending}
	is.Equal(MakePlan(s, newRandom()).Assignments[0].Worker, other.Name)
}

// TestInterferenceAvoided guards against a placement that ignores the interference model.
func TestInterferenceAvoided(t *testing.T) {
	is := is.New(t)
	withService, withoutService := newWorker(0), newWorker(3)
	addRunning(&withService, newRecord("svc", task.KindService, task.PriorityUrgent, size(2, 2)), 0).Spec.Class = "service"
	// The other worker is fuller, so that only the interference score favours it.
	addRunning(&withoutService, newRecord("quiet", task.KindBatch, task.PriorityNormal, size(8, 2)), 0).Spec.Class = "quiet"
	s := newSnapshot(withService, withoutService)
	for range 200 {
		s.Model.Observe(interference.Observation{Class: "service", Neighbours: map[string]int{"c0": 1}, Slowdown: 3, At: now})
	}
	s.Pending = []*task.Record{newRecord("batch", task.KindBatch, task.PriorityNormal, size(2, 2))}
	is.Equal(MakePlan(s, newRandom()).Assignments[0].Worker, withoutService.Name)
}

// TestSpread guards against two replicas of a service in one zone while another zone has none.
func TestSpread(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	for i := range 9 {
		s.Workers = append(s.Workers, newWorker(i))
	}
	for i := range 3 {
		r := newRecord(fmt.Sprintf("s%d", i), task.KindService, task.PriorityUrgent, size(1, 1))
		r.Spec.Service = "rail"
		s.Pending = append(s.Pending, r)
	}
	zones := map[byte]bool{}
	for _, a := range MakePlan(s, newRandom()).Assignments {
		zones[(a.Worker[1]-'0')%3] = true
	}
	is.Equal(len(zones), 3)
}

// TestReplicasPacked guards against replicas on so many workers that all batch work is throttled, and
// against losing more than two replicas with one worker.
func TestReplicasPacked(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(newWorker(0), newWorker(1), newWorker(2))
	for i := range s.Workers {
		s.Workers[i].Zone, s.Workers[i].Rack = "a", "r0"
	}
	for i := range 4 {
		replica := newRecord(fmt.Sprintf("s%d", i), task.KindService, task.PriorityUrgent, size(2, 4))
		replica.Spec.Service = "s"
		s.Pending = append(s.Pending, replica)
	}
	counts := map[string]int{}
	for _, a := range MakePlan(s, newRandom()).Assignments {
		counts[a.Worker]++
	}
	is.Equal(len(counts), 2) // two workers hold all replicas
	for _, count := range counts {
		is.Equal(count, 2)
	}
}
