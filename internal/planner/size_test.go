package planner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/resource"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Parameters of the load of a simulated region: short check jobs, fill jobs whose tasks are fillers, and watch
// jobs that run until they are cancelled and have a latency target.
const (
	regionStep      = 5 * time.Millisecond
	reportInterval  = time.Second
	entriesPerWrite = 24
	checkTasks      = 21
	fillTasks       = 80
	watchTasks      = 24
	checkTime       = 800 * time.Millisecond
	fillTime        = 2200 * time.Millisecond
	servingImages   = 16
	fillingImages   = 30
	workerMilliCPU  = 18000
	workerMemory    = 64 << 30
	stepsOfChecks   = 2
)

// dueEnd is a run with the time at which it ends.
type dueEnd struct {
	at          time.Duration
	task        string
	run         uint32
	incarnation job.WorkerIncarnation
}

// endKey identifies a reported end.
type endKey struct {
	agent  string
	number uint64
}

// dueEnds is a heap of runs, ordered by the time at which they end.
type dueEnds []dueEnd

func (d dueEnds) Len() int           { return len(d) }
func (d dueEnds) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dueEnds) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dueEnds) Push(x any)        { *d = append(*d, x.(dueEnd)) }
func (d *dueEnds) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulatedRegion simulates workers that follow the orders of a planner, in virtual time.
type simulatedRegion struct {
	planner *Planner
	random  *rand.Rand
	workers int
	now     time.Duration
	ends    dueEnds
	// ended holds the runs that have ended, by the numbers of their ends.
	ended    map[endKey]dueEnd
	numbers  map[string]uint64
	revision store.Revision
	jobs     int
	starts   int
	// dueChecks and dueFills are the numbers of tasks that are due to be submitted.
	dueChecks, dueFills float64
}

func newSimulatedRegion(workers int) *simulatedRegion {
	p := New(testTiming, time.Second)
	config := &operatorconfig.Config{Queues: []operatorconfig.Queue{
		{Name: "check", Service: "pool", MaxAttempts: 3, SlackFactor: 2, Objective: 250 * time.Millisecond},
		{Name: "fill", Service: "pool", Priority: 2, MaxAttempts: 3, SlackFactor: 2, Objective: time.Second},
		{Name: "watch", Service: "pool", MaxAttempts: 3},
	}}
	config.Index()
	p.SetOperatorSnapshot(operatorconfig.Snapshot{Config: config, Revision: 1})
	s := &simulatedRegion{
		planner: p, random: rand.New(rand.NewPCG(1, 2)), workers: workers, now: time.Second, numbers: map[string]uint64{},
		ended: map[endKey]dueEnd{},
	}
	for i := range workers {
		p.HandleReport(&wire.AgentReport{
			Agent: agentName(i), WorkerID: "w-" + agentName(i), Incarnation: 1, Service: "pool",
			Zone: fmt.Sprintf("zone-%d", i%6), Labels: []string{"a", fmt.Sprintf("rack-%d", i/8)},
			Capacity: resource.Quantity{MilliCPU: workerMilliCPU, MemoryBytes: workerMemory}, Complete: true,
		})
	}
	for range workers / 6 {
		s.submit("watch", job.Step{
			Count: watchTasks, Need: resource.Quantity{MilliCPU: 3200, MemoryBytes: 6 << 30}, LongRunning: true,
			Image: fmt.Sprintf("serving-%d", s.random.IntN(servingImages)), LatencyTarget: 50 * time.Millisecond,
		})
	}
	return s
}

// submit adds a job whose steps run one after another.
func (s *simulatedRegion) submit(queue string, steps ...job.Step) {
	s.jobs++
	for i := 1; i < len(steps); i++ {
		steps[i].After = []int{i - 1}
	}
	s.planner.AddJob(&job.Spec{ID: fmt.Sprintf("%016x", s.jobs), Queue: queue, Service: "pool", Steps: steps}, nil, 0, 0)
}

// advance simulates one regionStep with a load of the given number of starts per second.
func (s *simulatedRegion) advance(startsPerSecond float64) {
	s.now += regionStep
	s.planner.Advance(s.now)
	s.submitDueJobs(startsPerSecond)
	s.endRuns()
	s.reportProgress()
	s.commit()
}

// submitDueJobs submits the jobs of one regionStep.
func (s *simulatedRegion) submitDueJobs(startsPerSecond float64) {
	share := startsPerSecond * regionStep.Seconds() / 2
	for s.dueChecks += share; s.dueChecks > 0; s.dueChecks -= checkTasks {
		check := job.Step{
			Count: checkTasks / stepsOfChecks, Estimate: checkTime,
			Need: resource.Quantity{MilliCPU: 300 + s.random.Int64N(700), MemoryBytes: 1 << 30},
		}
		s.submit("check", check, check)
	}
	for s.dueFills += share; s.dueFills > 0; s.dueFills -= fillTasks {
		s.submit("fill", job.Step{
			Count: fillTasks, Estimate: fillTime, Filler: true, Checkpoints: true,
			Need:  resource.Quantity{MilliCPU: 1000 + s.random.Int64N(1500), MemoryBytes: 3 << 30},
			Image: fmt.Sprintf("filling-%d", s.random.IntN(fillingImages)),
		})
	}
}

// endRuns reports the ends of runs that are due.
func (s *simulatedRegion) endRuns() {
	for len(s.ends) > 0 && s.ends[0].at <= s.now {
		end := heap.Pop(&s.ends).(dueEnd)
		s.numbers[end.incarnation.Agent]++
		s.ended[endKey{end.incarnation.Agent, s.numbers[end.incarnation.Agent]}] = end
		s.planner.HandleRunsEnded(end.incarnation.Agent, &wire.RunEnded{WorkerID: end.incarnation.ID, Incarnation: end.incarnation.Incarnation, Ends: []wire.EndRow{{
			Number: s.numbers[end.incarnation.Agent], Task: end.task, Run: end.run, Outcome: uint8(job.OutcomeDone),
		}}})
	}
}

// reportProgress sends the reports of the agents whose turn it is; each agent reports once per reportInterval.
func (s *simulatedRegion) reportProgress() {
	steps := int(reportInterval / regionStep)
	turn := int(s.now/regionStep) % steps
	if turn == 0 {
		s.planner.Tick()
	}
	for i := turn; i < s.workers; i += steps {
		report := &wire.RunProgress{WorkerID: "w-" + agentName(i), Incarnation: 1}
		for r := range s.planner.runsByIncarnation[s.planner.agents[agentName(i)].incarnation] {
			report.Runs = append(report.Runs, wire.RunRow{Task: r.name(), Run: r.task().Run, ProgressPercent: 30})
			if r.definition().LatencyTarget > 0 {
				report.Loads = append(report.Loads, wire.LoadRow{Task: r.name(), Load: 0.3 + 0.2*s.random.Float32()})
				report.Pressures = append(report.Pressures, wire.PressureRow{
					Serving: r.definition().Image, Filler: fmt.Sprintf("filling-%d", s.random.IntN(fillingImages)),
					Value: 0.03 * s.random.Float32(), Samples: 5,
				})
			}
		}
		s.planner.HandleRunProgress(agentName(i), report)
	}
}

// commit completes all pending commits and applies the start orders.
func (s *simulatedRegion) commit() {
	for {
		c := s.planner.NextCommit(entriesPerWrite, s.now.Milliseconds(), false)
		if c.Empty() {
			break
		}
		s.revision++
		s.planner.HandleCommitted(c, s.revision)
	}
	s.planner.TakeEvents()
	s.planner.TakeTimings()
	for _, order := range s.planner.TakeOrders() {
		if start, ok := order.Message.(*wire.StartRun); ok {
			s.startRun(order.Agent, start)
		}
	}
}

// startRun starts a run on a worker and schedules its end. Runs with a latency target don't end.
func (s *simulatedRegion) startRun(agentName string, start *wire.StartRun) {
	s.starts++
	if start.LatencyTargetMillis > 0 {
		return
	}
	took := checkTime
	if start.Filler {
		took = fillTime
	}
	heap.Push(&s.ends, dueEnd{
		at: s.now + took*time.Duration(70+s.random.IntN(60))/100, task: start.Task, run: start.Run,
		incarnation: job.WorkerIncarnation{Agent: agentName, ID: start.WorkerID, Incarnation: start.Incarnation},
	})
}

// BenchmarkPlanner measures the planner's cost of a start, including its reports, records and end, with
// different numbers of workers. One operation is one start.
func BenchmarkPlanner(b *testing.B) {
	for _, size := range []struct {
		workers int
		starts  float64
	}{{11, 50}, {69, 400}, {240, 900}, {530, 900}} {
		b.Run(fmt.Sprintf("workers=%d/starts=%.0f", size.workers, size.starts), func(b *testing.B) {
			s := newSimulatedRegion(size.workers)
			for s.now < 8*time.Second {
				s.advance(size.starts)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for target := s.starts + b.N; s.starts < target; {
				s.advance(size.starts)
			}
			b.ReportMetric(float64(s.planner.countWaitingSteps()), "waiting-steps")
		})
	}
}

// BenchmarkIdlePass measures a pass over a full region in which nothing can be placed.
func BenchmarkIdlePass(b *testing.B) {
	for _, workers := range []int{69, 530} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSimulatedRegion(workers)
			for s.now < 8*time.Second {
				s.advance(float64(workers) * 12)
			}
			b.ResetTimer()
			for b.Loop() {
				s.planner.changes.markAllChanged()
				s.planner.NextCommit(entriesPerWrite, 0, false)
			}
			b.ReportMetric(float64(s.planner.countWaitingSteps()), "waiting-steps")
		})
	}
}

// countWaitingSteps returns the number of ready steps with waiting tasks.
func (p *Planner) countWaitingSteps() int { return len(p.candidates()) }

// BenchmarkStallCheck measures a check for stalled tasks of a region with 1,100 long-running and 3,000 batch tasks on 530
// workers, with all long-running tasks at work, and with all of them waiting for room.
func BenchmarkStallCheck(b *testing.B) {
	const jobs, tasks = 46, 24
	for _, stalled := range []bool{false, true} {
		b.Run(fmt.Sprintf("stalled=%t", stalled), func(b *testing.B) {
			s := newSimulatedRegion(530)
			for id := range s.planner.jobs {
				s.planner.Cancel(id)
			}
			s.planner.Tick()
			for range jobs {
				s.submit("watch", job.Step{
					Count: tasks, LongRunning: true, Image: "serving-0", LatencyTarget: 50 * time.Millisecond,
					Need: resource.Quantity{MilliCPU: 2 * workerMilliCPU, MemoryBytes: 6 << 30},
				})
			}
			for range 3000 / fillTasks {
				s.submit("fill", job.Step{Count: fillTasks, Filler: true, Need: resource.Quantity{MilliCPU: 1000, MemoryBytes: 3 << 30}})
			}
			s.commit()
			if stalled {
				s.planner.Advance(s.now + stallAfter + 1)
				s.planner.stalls.assignedAt = s.planner.now
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				s.planner.stalls.nextAt = 0
				s.planner.checkStalls()
				s.planner.TakeEvents()
			}
			b.ReportMetric(float64(s.planner.StalledTasks(StallNoRoom)), "stalled-tasks")
		})
	}
}
