package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const serviceName = "bracket-spacing"

func fleetOf(count int, zones ...string) []Worker {
	workers := make([]Worker, count)
	for index := range workers {
		workers[index] = Worker{
			Name: fmt.Sprintf("w%03d", index), Incarnation: "1", Zone: zones[index%len(zones)],
			Connected: true, HeardAt: start,
			Targets: []wire.TargetState{{Service: serviceName, Address: "127.0.0.1:1", Slots: 8, Connections: 64}},
		}
	}
	return workers
}

func allZones(string) bool { return true }

// TestRouterInvariants guards against a request to a worker that is leaving, in a zone out of service,
// disconnected, silent, full or ejected, and against ejections of more than half of the workers or of
// more than the rest can carry.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := New("z0", rapid.Uint64().Draw(t, "seed"))
		workers := fleetOf(rapid.IntRange(1, 9).Draw(t, "workers"), "z0", "z1", "z2")
		now := start
		out := map[string]bool{}
		inProgress := map[string]int{}
		update := func() { router.Update(workers, func(zone string) bool { return !out[zone] }) }
		update()
		index := rapid.IntRange(0, len(workers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"zone": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"z0", "z1", "z2"}).Draw(t, "zone")
				out[zone] = !out[zone]
				update()
			},
			"leave": func(t *rapid.T) { w := &workers[index.Draw(t, "w")]; w.Leaving = !w.Leaving; update() },
			"link":  func(t *rapid.T) { w := &workers[index.Draw(t, "w")]; w.Connected = !w.Connected; update() },
			"target": func(t *rapid.T) {
				w := &workers[index.Draw(t, "w")]
				w.Targets = slices.Clone(w.Targets)
				w.Targets[0].Leaving = !w.Targets[0].Leaving
				update()
			},
			"hear": func(t *rapid.T) { workers[index.Draw(t, "w")].HeardAt = now; update() },
			"hearAll": func(*rapid.T) {
				for index := range workers {
					workers[index].HeardAt = now
				}
				update()
			},
			"finish": func(t *rapid.T) {
				w := workers[index.Draw(t, "w")].Name
				if inProgress[w] == 0 {
					t.Skip("nothing in progress")
				}
				inProgress[w]--
				before := ejected(router, now)
				_, more := router.Finished(now, serviceName, w, rapid.SampledFrom([]Result{ResultAnswered, ResultFailed}).Draw(t, "result"), time.Millisecond)
				s := router.services[serviceName]
				if look := s.survey(now, ""); more && ejected(router, now) > before && !look.ejectionsHold() {
					t.Fatalf("ejection against the rules: %+v", look)
				}
			},
			"pick": func(t *rapid.T) {
				decision := router.Pick(now, serviceName, nil)
				if !decision.Chosen() {
					return
				}
				w := workers[slices.IndexFunc(workers, func(w Worker) bool { return w.Name == decision.Worker })]
				state := router.services[serviceName].byName[w.Name]
				switch {
				case w.Leaving || w.Targets[0].Leaving || out[w.Zone] || !w.Connected || now.Sub(w.HeardAt) > SilentAfter:
					t.Fatalf("chose %+v", w)
				case state.full():
					t.Fatalf("chose a full worker")
				case state.ejection.active(now) && !decision.EjectionsIgnored:
					t.Fatalf("chose an ejected worker")
				}
				if look := router.services[serviceName].survey(now, ""); !decision.EjectionsIgnored && 2*look.ejected > look.eligible {
					t.Fatalf("more than half are ejected: %+v", look)
				}
				if decision.Candidates+decision.Excluded.Total() != len(router.services[serviceName].targets) {
					t.Fatalf("decision does not account for each worker: %+v", decision)
				}
				router.Started(serviceName, w.Name)
				inProgress[w.Name]++
			},
		})
	})
}

func ejected(router *Router, now time.Time) int {
	look := router.services[serviceName].survey(now, "")
	return look.ejected
}

// TestEjection guards against a failing or slow worker that keeps its share of requests, and against
// ejections that do not grow.
func TestEjection(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	router.Update(fleetOf(4, "z0"), allZones)
	var ejection Ejection
	for range failuresToEject {
		router.Started(serviceName, "w000")
		ejection, _ = router.Finished(start, serviceName, "w000", ResultFailed, 0)
	}
	is.Equal(ejection, Ejection{Service: serviceName, Worker: "w000", Cause: EjectedForFailures, For: ejectionBase})
	for range 100 {
		is.True(router.Pick(start, serviceName, nil).Worker != "w000")
	}
	now := start.Add(ejectionBase)
	for range failuresToEject {
		ejection, _ = router.Finished(now, serviceName, "w000", ResultFailed, 0)
	}
	is.Equal(ejection.For, 2*ejectionBase)

	router = New("z0", 1)
	router.Update(fleetOf(4, "z0"), allZones)
	var slow bool
	for round := range slowSamples {
		now = start.Add(time.Duration(round) * medianInterval)
		for _, worker := range []string{"w001", "w002", "w003"} {
			router.Finished(now, serviceName, worker, ResultAnswered, 10*time.Millisecond)
		}
		ejection, slow = router.Finished(now, serviceName, "w000", ResultAnswered, 100*time.Millisecond)
	}
	is.True(slow)
	is.Equal(ejection.Cause, EjectedForLatency)
}

// TestOwnZone guards against requests that leave the own zone without need, and against an own zone
// that is overloaded while other zones have room.
func TestOwnZone(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	router.Update(fleetOf(4, "z0", "z1"), allZones)
	for range 13 { // 80% of two workers with 8 slots
		decision := router.Pick(start, serviceName, nil)
		is.Equal(decision.Reason, ReasonOwnZone)
		router.Started(serviceName, decision.Worker)
	}
	is.Equal(router.Pick(start, serviceName, nil).Reason, ReasonAllZones)
}

// TestBalance guards against a choice that ignores what is in progress.
func TestBalance(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	router.Update(fleetOf(11, "z0"), allZones)
	counts := map[string]int{}
	for range 44 {
		decision := router.Pick(start, serviceName, nil)
		router.Started(serviceName, decision.Worker)
		counts[decision.Worker]++
	}
	for _, count := range counts {
		is.True(count <= 7)
	}
	is.Equal(len(counts), 11)
}

// TestQueue guards against a wrong order, an unbounded queue, and a wait that cannot end in time.
func TestQueue(t *testing.T) {
	is := is.New(t)
	queue := NewQueue()
	load := Load{InProgress: 1, Limit: 1, ServiceTime: 100 * time.Millisecond}
	offer := func(id string, priority task.Priority, after time.Duration) Refusal {
		refusal, _ := queue.Offer(start, Item{ID: id, Priority: priority, Deadline: start.Add(after)}, load)
		return refusal
	}
	is.Equal(offer("a", task.PriorityNormal, time.Second), Accepted)
	is.Equal(offer("b", task.PriorityNormal, 900*time.Millisecond), Accepted)
	is.Equal(offer("c", task.PriorityLow, 350*time.Millisecond), RefusedDeadline)
	is.Equal(offer("d", task.PriorityUrgent, 350*time.Millisecond), Accepted)
	for _, want := range []string{"d", "b", "a"} {
		item, ok := queue.Pop()
		is.True(ok)
		is.Equal(item.ID, want)
	}
	load.ServiceTime = 0
	for index := range QueueLimit {
		is.Equal(offer(fmt.Sprint(index), task.PriorityLow, time.Second), Accepted)
	}
	is.Equal(offer("full", task.PriorityLow, time.Second), RefusedFull)
	is.Equal(offer("urgent", task.PriorityUrgent, time.Second), Accepted)
	is.True(queue.Remove("7"))
	is.Equal(queue.Count(task.PriorityLow), QueueLimit-1)
}

// TestRetryBudget guards against retries above 10% of the requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget, retries := NewRetryBudget(), 0
	for range 1000 {
		budget.Request()
		if budget.Take() {
			retries++
		}
	}
	is.Equal(retries, 103) // 10% and the three that a new budget holds
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{11, 265} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			router := New("z0", 1)
			router.Update(fleetOf(count, "z0", "z1", "z2", "z3"), allZones)
			b.ReportAllocs()
			for b.Loop() {
				decision := router.Pick(start, serviceName, nil)
				router.Started(serviceName, decision.Worker)
				router.Finished(start, serviceName, decision.Worker, ResultNotRun, 0)
			}
		})
	}
}

// eject fails a worker until it would be ejected and reports whether it was.
func eject(router *Router, worker string) bool {
	ejected := false
	for range failuresToEject {
		_, more := router.Finished(start, serviceName, worker, ResultFailed, 0)
		ejected = ejected || more
	}
	return ejected
}

// TestEjectionLimits guards against ejections of more than half of the workers, of more than the rest
// can carry, and against ejections that stay in force when healthy workers go away.
func TestEjectionLimits(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	workers := fleetOf(4, "z0")
	router.Update(workers, allZones)
	is.True(eject(router, "w000"))
	is.True(eject(router, "w001"))
	is.True(!eject(router, "w002"))
	is.Equal(router.Pick(start, serviceName, nil).Excluded.Ejected, 2)
	workers[3].Leaving = true
	router.Update(workers, allZones)
	decision := router.Pick(start, serviceName, nil)
	is.True(decision.EjectionsIgnored)
	is.Equal(decision.Candidates, 3)

	router = New("z0", 1)
	workers = fleetOf(4, "z0")
	router.Update(workers, allZones)
	for _, worker := range []string{"w001", "w002", "w003"} {
		for range 7 { // 21 in progress; without w000 there are 24 slots, which may carry 19
			router.Started(serviceName, worker)
		}
	}
	is.True(!eject(router, "w000"))
}

// TestSilentAndFull guards against a request to a worker whose heartbeats have stopped or that has no
// free slot.
func TestSilentAndFull(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	workers := fleetOf(3, "z0")
	workers[0].HeardAt = start.Add(-SilentAfter - 1)
	workers[1].Targets[0].SlotsUsed = 8
	router.Update(workers, allZones)
	for range 8 {
		decision := router.Pick(start, serviceName, nil)
		is.Equal(decision.Worker, "w002")
		is.Equal(decision.Excluded, Exclusions{Silent: 1, Full: 1})
		router.Started(serviceName, "w002")
	}
	is.Equal(router.Pick(start, serviceName, nil).Reason, ReasonNoCandidate)
	is.Equal(router.Pick(start, serviceName, []string{"w000"}).Excluded, Exclusions{Silent: 1, Full: 2})
}

// TestSlowOwnZone guards against a worker that gets requests because it is in the own zone although
// its neighbours slow it down and another zone answers sooner.
func TestSlowOwnZone(t *testing.T) {
	is := is.New(t)
	router := New("z0", 1)
	workers := fleetOf(4, "z0", "z1")
	router.Update(workers, allZones)
	for _, worker := range workers {
		latency := 10 * time.Millisecond
		if worker.Name == "w000" {
			latency = 25 * time.Millisecond
		}
		for range slowSamples {
			router.Started(serviceName, worker.Name)
			router.Finished(start, serviceName, worker.Name, ResultAnswered, latency)
		}
	}
	now := start.Add(time.Second) // the median of the service is kept for a short time
	for range 50 {
		is.Equal(router.Pick(now, serviceName, nil).Worker, "w002") // the other one of the own zone
	}
	is.Equal(router.Pick(now, serviceName, []string{"w002"}).Reason, ReasonAllZones)
}
