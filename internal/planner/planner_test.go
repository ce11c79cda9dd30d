package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/resource"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

var testTiming = Timing{Authority: 5 * time.Second, Margin: 300 * time.Millisecond, StatusPeriod: time.Minute}

// plan returns a planner with agents of four cores each.
func plan(agents int) *Planner {
	p := New(testTiming, time.Second)
	config := &operatorconfig.Config{Queues: []operatorconfig.Queue{
		{Name: "q", Service: "pool", Priority: 1, MaxAttempts: 3},
		{Name: "urgent", Service: "pool", MaxAttempts: 3},
		{Name: "timed", Service: "pool", Priority: 1, MaxAttempts: 3, SlackFactor: 2, Objective: time.Second},
	}}
	config.Index()
	p.SetOperator(operatorconfig.Snapshot{Config: config, Revision: 1})
	for i := range agents {
		p.Report(report(i))
	}
	return p
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func report(i int) *wire.AgentReport {
	return &wire.AgentReport{
		Agent: agentName(i), WorkerID: "w-" + agentName(i), Born: 1, Service: "pool",
		Zone:     []string{"north", "south"}[i%2],
		Capacity: resource.Quantity{MilliCPU: 4000, MemoryBytes: 8 << 30}, Complete: true,
	}
}

func add(p *Planner, id, queue string, step job.Step) {
	if step.Need.MilliCPU == 0 {
		step.Need.MilliCPU = 1000
	}
	p.AddJob(&job.Spec{ID: id, Queue: queue, Service: "pool", Steps: []job.Step{step}}, nil, 0, 0)
}

// commit writes everything that waits and returns the start orders by agent.
func commit(p *Planner) map[string]int {
	for revision := store.Revision(1); ; revision++ {
		c := p.NextCommit(20, 0, false)
		if c.Empty() {
			break
		}
		p.Committed(c, revision)
	}
	starts := map[string]int{}
	for _, order := range p.TakeOrders() {
		if _, ok := order.Message.(*wire.StartRun); ok {
			starts[order.Agent]++
		}
	}
	return starts
}

func total(starts map[string]int) int {
	sum := 0
	for _, count := range starts {
		sum += count
	}
	return sum
}

// TestNoWorkerIsOverfilled guards against a worker that is given more than its capacity.
func TestNoWorkerIsOverfilled(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	add(p, "a", "q", job.Step{Count: 20})
	starts := commit(p)
	is.Equal(starts[agentName(0)], 4)
	is.Equal(starts[agentName(1)], 4)
}

// TestUrgentWorkGoesFirst guards against urgent work that waits behind other work for the same room.
func TestUrgentWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	p := plan(1)
	add(p, "a", "q", job.Step{Count: 4})
	add(p, "b", "urgent", job.Step{Count: 3})
	commit(p)
	waiting, _ := p.Task("a.0.0.1")
	urgent, _ := p.Task("b.0.0.2")
	is.Equal(waiting.Phase, job.PhaseWaiting)
	is.Equal(urgent.Phase, job.PhaseAssigned)
}

// TestStartFollowsTheCommit guards against a start order that leaves before its assignment is recorded: a
// new coordinator would not know where the task runs.
func TestStartFollowsTheCommit(t *testing.T) {
	is := is.New(t)
	p := plan(1)
	add(p, "a", "q", job.Step{Count: 1})
	c := p.NextCommit(20, 0, false)
	is.Equal(len(p.TakeOrders()), 0)
	p.Failed(c, func(string) (store.Revision, bool) { return 0, false })
	is.Equal(len(p.TakeOrders()), 0)
	is.Equal(total(commit(p)), 1)
}

// TestDecisionsBeforeTheStart guards against a start in a zone that was taken out between the assignment
// and its commit.
func TestDecisionsBeforeTheStart(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	add(p, "a", "q", job.Step{Count: 8})
	c := p.NextCommit(20, 0, false)
	operator := p.operator
	operator.ZonesOut = map[string]store.Revision{"north": 7}
	p.Failed(c, func(string) (store.Revision, bool) { return 0, false })
	p.SetOperator(operator)
	starts := commit(p)
	is.Equal(starts[agentName(0)], 0)
	is.Equal(starts[agentName(1)], 4)
}

// TestBoundPerWorker guards against more tasks of a step on a worker than the step allows, and against
// the bound keeping tasks from other workers.
func TestBoundPerWorker(t *testing.T) {
	is := is.New(t)
	p := plan(3)
	add(p, "a", "q", job.Step{Count: 6, MaxPerWorker: 1})
	starts := commit(p)
	is.Equal(total(starts), 3)
	for _, count := range starts {
		is.Equal(count, 1)
	}
}

// TestLabel guards against a start on a worker without the label that the step requires.
func TestLabel(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	labelled := report(1)
	labelled.Labels = []string{"a", "rack-1"}
	p.Report(labelled)
	add(p, "a", "q", job.Step{Count: 3, Label: "a"})
	starts := commit(p)
	is.Equal(starts[agentName(0)], 0)
	is.Equal(starts[agentName(1)], 3)
}

// TestFailingWorkerIsSpared guards against a worker that fails all it starts and keeps being given work:
// with three attempts a task, it would end jobs that are sound.
func TestFailingWorkerIsSpared(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	for i := range suspectAfter {
		id := fmt.Sprintf("job-%d", i)
		add(p, id, "q", job.Step{Count: 1})
		commit(p)
		task, _ := p.Task(id + ".0.0.0")
		p.Ended(task.Worker.Agent, &wire.RunEnded{
			WorkerID: task.Worker.ID, Born: 1,
			Ends: []wire.EndRow{{Number: uint64(i + 1), Task: id + ".0.0.0", Run: task.Run, Outcome: uint8(job.OutcomeFailed)}},
		})
	}
	failing := p.agents[agentName(0)]
	failing.failuresInRow, failing.suspectEnds = suspectAfter, p.now+suspectPeriod
	p.agents[agentName(1)].failuresInRow = 0
	add(p, "next", "q", job.Step{Count: 4})
	is.Equal(commit(p)[agentName(0)], 0)
	p.Advance(p.now + 2*suspectPeriod)
	add(p, "probe", "q", job.Step{Count: 4})
	is.Equal(commit(p)[agentName(0)], 1) // one task probes it after the pause
}

// TestImagesKeepTogether guards against serving runs of all images on all workers: a filler that presses
// one image then finds no worker on which it can work.
func TestImagesKeepTogether(t *testing.T) {
	is := is.New(t)
	p := plan(4)
	for _, image := range []string{"x", "y"} {
		for i := range 2 {
			add(p, fmt.Sprintf("%s-%d", image, i), "urgent", job.Step{
				Count: 3, Lasting: true, Image: image, LatencyTarget: 50 * time.Millisecond,
			})
		}
	}
	commit(p)
	mixed := 0
	for i := range 4 {
		images := map[string]bool{}
		for _, image := range p.Neighbours(agentName(i)) {
			images[image] = true
		}
		if len(images) > 1 {
			mixed++
		}
	}
	is.True(mixed <= 1)
}

// TestFillersAvoidWhatTheyPress guards against a filler beside a run that it is known to press while
// another worker has none.
func TestFillersAvoidWhatTheyPress(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	add(p, "serving", "urgent", job.Step{Count: 2, Lasting: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
	commit(p)
	task, _ := p.Task("serving.0.0.0")
	p.RunProgress(task.Worker.Agent, &wire.RunProgress{
		WorkerID: task.Worker.ID, Born: 1,
		Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 30}},
		Loads:     []wire.LoadRow{{Task: "serving.0.0.0", Load: 0.5}},
	})
	add(p, "filling", "q", job.Step{Count: 1, Filler: true, Image: "heavy"})
	commit(p)
	filler, _ := p.Task("filling.0.0.0")
	is.Equal(filler.Phase, job.PhaseAssigned)
	is.True(filler.Worker.Agent != task.Worker.Agent)
}

// TestTasksOfALostWorkerMoveAfterItsAuthority guards against a task that starts elsewhere while a worker
// behind a cut may still run it, also when the coordinator is new.
func TestTasksOfALostWorkerMoveAfterItsAuthority(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	add(p, "a", "q", job.Step{Count: 1})
	commit(p)
	task, _ := p.Task("a.0.0.0")
	lastReply := p.now + 2*time.Second
	p.Advance(lastReply + time.Second)
	p.AgentDown(task.Worker.Agent, lastReply)
	p.Advance(lastReply + testTiming.Authority)
	p.Tick()
	is.Equal(total(commit(p)), 0)
	p.Advance(lastReply + testTiming.Authority + testTiming.Margin)
	p.Tick()
	is.Equal(total(commit(p)), 1)
	moved, _ := p.Task("a.0.0.0")
	is.Equal(moved.Run, task.Run+1)
}

// TestServingRunsLeaveWorkersToFillers guards against runs with a latency target on every worker although
// half of the workers hold them: at the peak of their loads no filler could work anywhere.
func TestServingRunsLeaveWorkersToFillers(t *testing.T) {
	is := is.New(t)
	p := plan(4)
	for _, image := range []string{"x", "y", "z"} {
		add(p, "serving-"+image, "urgent", job.Step{Count: 2, Lasting: true, Image: image, LatencyTarget: 50 * time.Millisecond})
	}
	commit(p)
	empty := 0
	for i := range 4 {
		if len(p.Neighbours(agentName(i))) == 0 {
			empty++
		}
	}
	is.Equal(empty, 2)
}

// TestFillerWaitsForHeadroom guards against fillers that are parked at a standstill beside the runs that
// they press: they would hold memory there and could not go where room comes free.
func TestFillerWaitsForHeadroom(t *testing.T) {
	is := is.New(t)
	p := plan(1)
	add(p, "serving", "urgent", job.Step{Count: 1, Lasting: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
	commit(p)
	p.RunProgress(agentName(0), &wire.RunProgress{
		WorkerID: "w-" + agentName(0), Born: 1,
		Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
		Loads:     []wire.LoadRow{{Task: "serving.0.0.0", Load: 0.6}},
	})
	add(p, "filling", "q", job.Step{Count: 1, Filler: true, Image: "heavy"})
	is.Equal(total(commit(p)), 0)
	p.Advance(p.now + 2*time.Second)
	is.Equal(total(commit(p)), 0)
	// Work that waits for very long goes ahead at what pace there is.
	p.Advance(p.now + 30*time.Second)
	is.Equal(total(commit(p)), 1)
}

// TestFillerWithoutHeadroomStartsInTime guards against a filler that waits without a bound for headroom by a
// learned figure, while most of the capacity of its workers is free.
func TestFillerWithoutHeadroomStartsInTime(t *testing.T) {
	is := is.New(t)
	p := plan(2)
	add(p, "serving", "urgent", job.Step{
		Count: 2, Lasting: true, Image: "x", LatencyTarget: 50 * time.Millisecond, MaxPerWorker: 1,
		Need: resource.Quantity{MilliCPU: 2000},
	})
	commit(p)
	for i := range 2 {
		p.RunProgress(agentName(i), &wire.RunProgress{
			WorkerID: "w-" + agentName(i), Born: 1,
			Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
		})
	}
	add(p, "filling", "q", job.Step{Count: 4, Filler: true, Image: "heavy", Need: resource.Quantity{MilliCPU: 3000}})
	is.Equal(total(commit(p)), 0)
	p.Advance(p.now + maxIdle - time.Millisecond)
	is.Equal(total(commit(p)), 0)
	p.Advance(p.now + retryInterval)
	is.Equal(total(commit(p)), 1) // the others wait for headroom
	p.Advance(p.now + retryInterval)
	is.Equal(total(commit(p)), 0)
}

// TestLargeWorkerTakesLargeFillers guards against fillers of an unknown image that wait on large workers
// because each of their cores is taken to press as much as on a small one.
func TestLargeWorkerTakesLargeFillers(t *testing.T) {
	is := is.New(t)
	p := plan(1)
	large := report(0)
	large.Capacity = resource.Quantity{MilliCPU: 64000, MemoryBytes: 250 << 30}
	p.Report(large)
	add(p, "serving", "urgent", job.Step{
		Count: 1, Lasting: true, Image: "x", LatencyTarget: 50 * time.Millisecond, Need: resource.Quantity{MilliCPU: 12000},
	})
	commit(p)
	add(p, "filling", "q", job.Step{Count: 2, Filler: true, Image: "new", Need: resource.Quantity{MilliCPU: 7000}})
	is.Equal(total(commit(p)), 2)
}

// TestLastingFillerIsNotInterrupted guards against a move that takes a lasting task away from a sound worker
// although its step bounds how many of its tasks the system may interrupt.
func TestLastingFillerIsNotInterrupted(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		is := is.New(t)
		p := plan(1)
		step := job.Step{Count: 1, Filler: true, Lasting: true, Checkpoints: true, Image: "heavy"}
		if bounded {
			step.MaxUnavailable = 1
		}
		add(p, "filling", "q", step)
		commit(p)
		task, _ := p.Task("filling.0.0.0")
		add(p, "serving", "urgent", job.Step{Count: 1, Lasting: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
		commit(p)
		p.Report(report(1))
		p.RunProgress(task.Worker.Agent, &wire.RunProgress{
			WorkerID: task.Worker.ID, Born: 1,
			Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
			Held:      []wire.HeldRow{{Task: "filling.0.0.0", Run: task.Run, Millis: 5000}},
		})
		stops := 0
		for _, order := range p.TakeOrders() {
			if _, ok := order.Message.(*wire.StopRun); ok {
				stops++
			}
		}
		is.Equal(stops == 0, bounded) // an unbounded one moves to the free worker
	}
}
