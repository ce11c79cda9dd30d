package main

import (
	"fmt"
	"time"

	"clementineflow/internal/replay"
	"clementineflow/internal/resource"
)

// scenario fills a trace with events and with the outcomes that the requirements ask for.
type scenario struct {
	name string
	fill func(*generator)
}

var scenarios = []scenario{
	{"usual-day", usualDay},
	{"noisy-wave", noisyWave},
	{"wrong-sizes", wrongSizes},
	{"zone-leaves-returns", zoneLeavesReturns},
	{"faulty-worker", faultyWorker},
	{"cancellation-wave", cancellationWave},
	{"impossible-jobs", impossibleJobs},
	{"store-outage", storeOutage},
}

const minute = time.Minute

// usualDay is a moderate load of every kind. Nothing disturbs it, so nothing may be evicted.
func usualDay(g *generator) {
	g.requests(20*time.Second, 2*minute)
	g.steadyJobs(200, 5*time.Second, 9*minute, 30*time.Second, 90*time.Second)
	g.urgentJobs(minute, 9*minute, 30*time.Second)
	g.answered("latency-critical requests keep their latency", 20*time.Second, 2*minute, g.objective, 990)
	g.state("nothing is evicted while there is room", replay.Expectation{Evictions: &replay.ExpectEvictions{AtMost: 0}})
	g.final(12 * minute)
	g.finished("batch work completes", 12*minute, g.jobs)
	g.watchesRun(10 * time.Second)
	g.watchesRun(12 * minute)
}

// noisyWave brings batch jobs of a class that lengthens the requests beside it threefold. Local
// control needs some seconds per step, so the objective is stated from 30 s after the wave began.
func noisyWave(g *generator) {
	const wave, end = minute, 3 * minute
	g.requests(20*time.Second, end)
	g.steadyJobs(60, 5*time.Second, 2*minute, 20*time.Second, 60*time.Second)
	for range 2 * len(g.layout) * workersPerRack {
		g.job(g.between(wave, wave+5*time.Second), g.between(40*time.Second, 80*time.Second), "normal", func(s *replay.Submit) {
			s.Class, s.Run.Slowdown = "noisy", 3
		})
	}
	g.urgentJobs(wave, end, 15*time.Second)
	g.answered("latency-critical requests keep their latency before the wave", 20*time.Second, wave, g.objective, 990)
	g.answered("latency-critical requests keep their latency after 30 s of the wave", wave+30*time.Second, end, g.objective, 950)
	g.answered("every request is answered", 20*time.Second, end, time.Second, 999)
	g.final(15 * minute)
	g.finished("throttled batch work completes", 15*minute, g.jobs)
	g.watchesRun(15 * minute)
}

// wrongSizes brings jobs that use twice what they declare and jobs that use a quarter. Usage is
// reported within 6 s; the jobs that were placed before the first reports have ended after 100 s.
func wrongSizes(g *generator) {
	g.requests(20*time.Second, minute)
	double, quarter := times(g.jobSize, 2), resource.Quantity{MilliCPU: g.jobSize.MilliCPU, MemoryBytes: g.jobSize.MemoryBytes}
	for range 120 {
		g.job(g.between(5*time.Second, 5*minute), g.between(30*time.Second, 60*time.Second), "normal", func(s *replay.Submit) {
			s.Class, s.Run.Use = "under-declared", double
		})
		g.job(g.between(5*time.Second, 5*minute), g.between(30*time.Second, 60*time.Second), "normal", func(s *replay.Submit) {
			s.Class, s.Size, s.Run.Use = "over-declared", times(g.jobSize, 4), quarter
		})
	}
	g.urgentJobs(minute, 5*minute, 20*time.Second)
	g.state("corrected sizes keep the real use within the workers", replay.Expectation{Capacity: &replay.ExpectCapacity{
		Window: window(100*time.Second, 0), RealUse: true,
	}})
	g.final(20 * minute)
	g.finished("batch work completes", 20*minute, g.jobs)
	g.answered("latency-critical requests keep their latency", 20*time.Second, minute, g.objective, 990)
}

// zoneLeavesReturns takes the first zone out at a peak that the other zones can carry.
func zoneLeavesReturns(g *generator) {
	const out, in, end = 2 * minute, 5 * minute, 7 * minute
	zone := g.layout[0].zone
	g.requests(90*time.Second, 3*minute)
	// 300 jobs of 50 s in 6 minutes are 42 at a time, 84 cores; with 16 cores of the service and 12 of
	// the watches they fit in bc-coast's 128 cores outside the zone. On mu-island, 270 jobs take 150
	// cores, and the service and the watches 46, of 224.
	count := 300
	if g.region == "mu-island" {
		count = 270
	}
	ends := g.steadyJobs(count, 5*time.Second, 6*minute, 30*time.Second, 70*time.Second)
	g.zone(out, zone, false)
	g.zone(in, zone, true)
	g.urgentJobs(out, in, 10*time.Second)
	normal := 0
	for _, at := range ends {
		if at >= out && at <= in {
			normal++
		}
	}
	g.state("no task starts in the zone 5 s after it left", replay.Expectation{NoStart: &replay.ExpectNoStart{
		Window: window(out+5*time.Second, in), Zone: zone,
	}})
	g.state("nine tenths of the normal work completes while the zone is out", replay.Expectation{Finished: &replay.ExpectFinished{
		Window: window(out, in), AtLeast: normal * 9 / 10,
	}})
	g.answered("requests are answered while the zone leaves", out, 3*minute, time.Second, 999)
	g.answered("requests keep their latency while the zone leaves", out, 3*minute, g.objective, 990)
	g.watchesRun(out - time.Second)
	g.watchesRun(out + 30*time.Second)
	g.watchesRun(end)
	g.final(10 * minute)
	g.finished("no work is lost", 10*minute, g.jobs)
}

// faultyWorker lets one worker fail everything that it starts, then work again.
func faultyWorker(g *generator) {
	name := workerName(g.layout[1].zone, 0)
	g.steadyJobs(150, 5*time.Second, 5*minute, 20*time.Second, 60*time.Second)
	g.urgentJobs(minute, 5*minute, 20*time.Second)
	g.add(30*time.Second, replay.Line{WorkerFaulty: &replay.WorkerFaulty{Name: name, Faulty: true}})
	g.add(4*minute, replay.Line{WorkerFaulty: &replay.WorkerFaulty{Name: name, Faulty: false}})
	g.state("a worker that fails everything is quarantined", replay.Expectation{Quarantined: &replay.ExpectQuarantined{
		Worker: name, By: replay.Duration(2 * minute),
	}})
	g.final(10 * minute)
	g.finished("work that failed on the worker completes elsewhere", 10*minute, g.jobs)
}

// cancellationWave cancels most of a backlog at once, running and pending tasks alike.
func cancellationWave(g *generator) {
	const wave = minute
	var ids []string
	for range 250 {
		ids = append(ids, g.job(g.between(5*time.Second, 20*time.Second), g.between(60*time.Second, 100*time.Second), "normal", nil))
	}
	cancelled := 180
	for index, id := range ids[:cancelled] {
		g.add(wave+time.Duration(index)*5*time.Millisecond, replay.Line{Cancel: &replay.TaskName{Task: id}})
	}
	for index := 0; index < cancelled; index += 10 {
		g.state("a cancelled task stops", replay.Expectation{State: &replay.ExpectState{
			Task: ids[index], State: "cancelled", By: replay.Duration(wave + 5*time.Second),
		}})
	}
	g.urgentJobs(wave, 2*minute, 5*time.Second)
	g.final(10 * minute)
	g.finished("the other work completes", 10*minute, g.jobs-cancelled)
	g.watchesRun(wave + 5*time.Second)
}

// impossibleJobs mixes jobs that can never run with normal ones.
func impossibleJobs(g *generator) {
	refuse := func(reason string, change func(*replay.Submit)) {
		id := g.job(30*time.Second, minute, "normal", change)
		g.jobs--
		g.state("an impossible job is refused with its reason", replay.Expectation{Refused: &replay.ExpectRefused{Task: id, Reason: reason}})
		g.jobs++
	}
	refuse("processors", func(s *replay.Submit) { s.Size.MilliCPU = g.size.MilliCPU + 1000 })
	refuse("memory", func(s *replay.Submit) { s.Size.MemoryBytes = g.size.MemoryBytes + gigabyte })
	refuse("accelerators", func(s *replay.Submit) { s.Size.Accelerators = 1 })
	refuse("quota", func(s *replay.Submit) { s.Size = times(g.size, 10) })
	refuse("zone atlantis is not in the configuration", func(s *replay.Submit) { s.Zones = []string{"atlantis"} })
	refuse("not in the configuration", func(s *replay.Submit) { s.Team = "nobody" })
	refused := g.jobs
	failing := 6
	for range failing {
		id := g.job(40*time.Second, minute, "normal", func(s *replay.Submit) { s.Run.FailAfter = replay.Duration(2 * time.Second) })
		g.state("a job that fails everywhere is quarantined", replay.Expectation{State: &replay.ExpectState{
			Task: id, State: "quarantined", By: replay.Duration(2 * minute),
		}})
	}
	g.steadyJobs(150, 5*time.Second, 4*minute, 20*time.Second, 60*time.Second)
	g.urgentJobs(30*time.Second, 4*minute, 15*time.Second)
	g.final(8 * minute)
	g.finished("possible work completes", 8*minute, g.jobs-refused-failing)
}

// storeOutage makes the store unreachable for five minutes.
func storeOutage(g *generator) {
	const down, up = 2 * minute, 7 * minute
	g.requests(down-10*time.Second, down+80*time.Second)
	g.steadyJobs(120, 5*time.Second, down-5*time.Second, 60*time.Second, 400*time.Second)
	accepted := g.jobs
	g.add(down, replay.Line{Store: &replay.Store{Up: false}})
	g.add(up, replay.Line{Store: &replay.Store{Up: true}})
	for index := range 5 {
		id := g.job(down+time.Duration(index+1)*30*time.Second, minute, "normal", nil)
		g.state("a submission during the outage is refused", replay.Expectation{Refused: &replay.ExpectRefused{Task: id, Reason: "unavailable"}})
	}
	refused := g.jobs
	g.steadyJobs(30, up+time.Second, up+minute, 20*time.Second, 60*time.Second)
	g.urgentJobs(up+5*time.Second, up+minute, 10*time.Second)
	for _, place := range g.layout {
		g.state(fmt.Sprintf("no new assignment in %s during the outage", place.zone), replay.Expectation{NoStart: &replay.ExpectNoStart{
			Window: window(down+time.Second, up-time.Second), Zone: place.zone,
		}})
	}
	g.answered("requests keep their latency during the outage", down, down+80*time.Second, g.objective, 990)
	g.watchesRun(down + minute)
	g.watchesRun(up + 10*time.Second)
	g.state("running work is not stopped by the outage", replay.Expectation{Evictions: &replay.ExpectEvictions{
		Window: window(down, up), AtMost: 0,
	}})
	g.final(20 * minute)
	g.finished("all accepted work completes", 20*minute, accepted+g.jobs-refused)
}
