package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"clementineflow/internal/configuration"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

var now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

const gib = 1 << 30

func size(cores, gibs int64) resource.Quantity {
	return resource.Quantity{MilliCPU: cores * 1000, MemoryBytes: gibs * gib}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func newDocument(out ...string) *configuration.Document {
	d := &configuration.Document{Revision: 1, Weights: configuration.Weights{TailLatency: 2, Throughput: 1, Evictions: 1, ZoneWork: 1}}
	for _, name := range []string{"a", "b", "c"} {
		zone := configuration.Zone{Name: name}
		for _, o := range out {
			zone.OutOfService = zone.OutOfService || o == name
		}
		d.Zones = append(d.Zones, zone)
	}
	for i := range 4 {
		d.Teams = append(d.Teams, configuration.Team{Name: fmt.Sprintf("t%d", i), Weight: i + 1})
	}
	return d
}

func newWorker(i int) Worker {
	return Worker{
		Name: fmt.Sprintf("w%d", i), Zone: string(rune('a' + i%3)), Rack: fmt.Sprintf("r%d", i/3),
		Capacity: size(16, 60), Connected: true, Session: task.Session{BootID: "b", Number: 1},
	}
}

func newRecord(name string, kind task.Kind, priority task.Priority, s resource.Quantity) *task.Record {
	spec := task.Spec{Name: name, Kind: kind, Team: "t0", Class: "c0", Priority: priority, Size: s}
	if kind == task.KindService {
		spec.Service = name
	}
	return task.New(spec, "", now)
}

// addRunning makes the record a running task of the worker.
func addRunning(w *Worker, r *task.Record, progress int) *task.Record {
	_ = r.Assign(w.Name, w.Session, "", now)
	_ = r.Started(task.Origin{Worker: w.Name, Attempt: r.Attempt, Session: w.Session}, now)
	w.AssignedTasks = append(w.AssignedTasks, AssignedTask{Record: r, ProgressPermille: progress})
	return r
}

// TestPlanProperties guards against a plan that exceeds a worker's capacity, assigns work in a zone out
// of service or to a disconnected worker, exceeds a quota, evicts a service or urgent work for urgent
// work, or contains two decisions for one task.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Snapshot{Now: now, Document: newDocument(), Model: interference.New(), Sizes: NewSizeEstimator(), TeamUse: map[string]resource.Quantity{}}
		if rapid.Bool().Draw(t, "leaving") {
			s.Document = newDocument("b")
		}
		s.Document.Teams[1].Quota = size(10, 0)
		byName := map[string]*Worker{}
		records := map[string]*task.Record{}
		drawRecord := func(name string) *task.Record {
			r := newRecord(name, task.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), task.Priority(rapid.IntRange(1, 3).Draw(t, "priority")),
				size(int64(rapid.IntRange(1, 12).Draw(t, "cores")), int64(rapid.IntRange(1, 40).Draw(t, "gib"))))
			r.Spec.Team = fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team"))
			r.CreatedAt = now.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "age")) * time.Second)
			records[r.ID] = r
			return r
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := newWorker(i)
			w.Connected = rapid.IntRange(0, 9).Draw(t, "connected") > 0
			free := w.Capacity
			for j := range rapid.IntRange(0, 4).Draw(t, "held") {
				r := drawRecord(fmt.Sprintf("held-%d-%d", i, j))
				if !r.Spec.Size.FitsIn(free) {
					continue
				}
				free = free.Sub(r.Spec.Size)
				addRunning(&w, r, rapid.IntRange(0, 1000).Draw(t, "progress"))
				if CountsAgainstQuota(r.Spec.Kind) {
					s.TeamUse[r.Spec.Team] = s.TeamUse[r.Spec.Team].Add(r.Spec.Size)
				}
			}
			s.Workers = append(s.Workers, w)
		}
		for i := range s.Workers {
			byName[s.Workers[i].Name] = &s.Workers[i]
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "pending") {
			s.Pending = append(s.Pending, drawRecord(fmt.Sprintf("p%d", i)))
		}
		plan := MakePlan(s, newRandom())
		checkPlan(t, s, plan, byName, records)
	})
}

func checkPlan(t *rapid.T, s *Snapshot, plan Plan, workers map[string]*Worker, records map[string]*task.Record) {
	used := map[string]resource.Quantity{}
	teams := map[string]resource.Quantity{}
	decided := map[string]bool{}
	for _, a := range plan.Assignments {
		w, r := workers[a.Worker], records[a.TaskID]
		if !w.Connected || !s.Document.ZoneInService(w.Zone) {
			t.Fatalf("assigned to %+v", w)
		}
		if decided[a.TaskID] {
			t.Fatalf("two decisions for %s", a.TaskID)
		}
		decided[a.TaskID] = true
		used[a.Worker] = used[a.Worker].Add(r.Spec.Size)
		if CountsAgainstQuota(r.Spec.Kind) {
			teams[r.Spec.Team] = teams[r.Spec.Team].Add(r.Spec.Size)
		}
	}
	for name, w := range workers {
		total := used[name]
		for _, h := range w.AssignedTasks {
			total = total.Add(h.Record.Spec.Size)
		}
		if !total.FitsIn(w.Capacity) {
			t.Fatalf("%s holds %+v of %+v", name, total, w.Capacity)
		}
	}
	for _, team := range s.Document.Teams {
		if use := teams[team.Name]; !use.IsZero() && !WithinQuota(use.Add(s.TeamUse[team.Name]), team.Quota) {
			t.Fatalf("team %s uses %+v", team.Name, use)
		}
	}
	for _, e := range plan.Evictions {
		r := records[e.TaskID]
		if e.Cause == CauseUrgent && (r.Spec.Kind == task.KindService || r.Spec.Priority == task.PriorityUrgent) {
			t.Fatalf("evicted %s for urgent work", r.ID)
		}
		if e.Cause == CauseZoneLeaving && s.Document.ZoneInService(workers[e.Worker].Zone) {
			t.Fatalf("moved %s out of a zone in service", r.ID)
		}
		if decided[e.TaskID] {
			t.Fatalf("two decisions for %s", e.TaskID)
		}
		decided[e.TaskID] = true
	}
}

func newSnapshot(workers ...Worker) *Snapshot {
	return &Snapshot{Now: now, Document: newDocument(), Workers: workers, Model: interference.New(), Sizes: NewSizeEstimator(), TeamUse: map[string]resource.Quantity{}}
}

// TestOrder guards against batch work that is placed before urgent work, and against batch work that
// starves behind newer urgent work.
func TestOrder(t *testing.T) {
	is := is.New(t)
	batch := newRecord("batch", task.KindBatch, task.PriorityLow, size(16, 60))
	urgent := newRecord("urgent", task.KindBatch, task.PriorityUrgent, size(16, 60))
	s := newSnapshot(newWorker(0))
	s.Pending = []*task.Record{batch, urgent}
	is.Equal(MakePlan(s, newRandom()).Assignments[0].TaskID, urgent.ID)
	batch.CreatedAt = now.Add(-time.Hour)
	is.Equal(MakePlan(s, newRandom()).Assignments[0].TaskID, batch.ID)
}

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

// TestFeasible guards against accepting a task that fits on no worker, even an empty one.
func TestFeasible(t *testing.T) {
	is := is.New(t)
	capacities := []Capacity{{"a", size(16, 60)}, {"b", size(32, 125)}}
	spec := newRecord("j", task.KindBatch, task.PriorityNormal, size(20, 10)).Spec
	is.NoErr(CheckFeasible(&spec, capacities))
	spec.Zones = []string{"a"}
	var infeasible *InfeasibleError
	is.True(errors.As(CheckFeasible(&spec, capacities), &infeasible))
	is.Equal(infeasible.Filtered, []FilterCount{{ReasonZoneNotAllowed, 1}, {ReasonProcessors, 1}})
}

func BenchmarkMake(b *testing.B) {
	for _, c := range []struct{ count, held int }{{11, 8}, {100, 8}, {265, 8}, {265, 16}} {
		count := c.count
		b.Run(fmt.Sprintf("workers=%d/held=%d/pending=500", count, c.held), func(b *testing.B) {
			s := newSnapshot()
			for i := range count {
				w := newWorker(i)
				for j := range c.held {
					r := newRecord(fmt.Sprintf("h%d-%d", i, j), task.KindBatch, task.PriorityNormal, size(1, 2))
					r.Spec.Class = fmt.Sprintf("c%d", j)
					addRunning(&w, r, 100)
				}
				s.Workers = append(s.Workers, w)
			}
			for i := range 500 {
				r := newRecord(fmt.Sprintf("p%d", i), task.KindBatch, task.Priority(1+i%3), size(1, 2))
				r.Spec.Team, r.Spec.Class = fmt.Sprintf("t%d", i%4), fmt.Sprintf("c%d", i%8)
				s.Pending = append(s.Pending, r)
			}
			source := newRandom()
			for b.Loop() {
				MakePlan(s, source)
			}
		})
	}
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
