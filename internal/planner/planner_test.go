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

// newTestPlanner returns a planner with the given number of agents, whose workers have four cores each.
func newTestPlanner(agents int) *Planner {
	p := New(testTiming, time.Second)
	config := &operatorconfig.Config{Queues: []operatorconfig.Queue{
		{Name: "q", Service: "pool", Priority: 1, MaxAttempts: 3},
		{Name: "urgent", Service: "pool", MaxAttempts: 3},
		{Name: "timed", Service: "pool", Priority: 1, MaxAttempts: 3, SlackFactor: 2, Objective: time.Second},
	}}
	config.Index()
	p.SetOperatorSnapshot(operatorconfig.Snapshot{Config: config, Revision: 1})
	for i := range agents {
		p.HandleReport(testReport(i))
	}
	return p
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func testReport(i int) *wire.AgentReport {
	return &wire.AgentReport{
		Agent: agentName(i), WorkerID: "w-" + agentName(i), Incarnation: 1, Service: "pool",
		Zone:     []string{"north", "south"}[i%2],
		Capacity: resource.Quantity{MilliCPU: 4000, MemoryBytes: 8 << 30}, Complete: true,
	}
}

func addJob(p *Planner, id, queue string, step job.Step) {
	if step.Need.MilliCPU == 0 {
		step.Need.MilliCPU = 1000
	}
	p.AddJob(&job.Spec{ID: id, Queue: queue, Service: "pool", Steps: []job.Step{step}}, nil, 0, 0)
}

// endTask reports that the run of a task is done.
func endTask(p *Planner, name string, number uint64) {
	task, _ := p.Task(name)
	p.HandleRunsEnded(task.Worker.Agent, &wire.RunEnded{WorkerID: task.Worker.ID, Incarnation: task.Worker.Incarnation, Ends: []wire.EndRow{{
		Number: number, Task: name, Run: task.Run, Outcome: uint8(job.OutcomeDone),
	}}})
}

// commit completes all pending commits and returns the number of start orders by agent.
func commit(p *Planner) map[string]int {
	for revision := store.Revision(1); ; revision++ {
		c := p.NextCommit(20, 0, false)
		if c.Empty() {
			break
		}
		p.HandleCommitted(c, revision)
	}
	starts := map[string]int{}
	for _, order := range p.TakeOrders() {
		if _, ok := order.Message.(*wire.StartRun); ok {
			starts[order.Agent]++
		}
	}
	return starts
}

func totalStarts(starts map[string]int) int {
	sum := 0
	for _, count := range starts {
		sum += count
	}
	return sum
}

// TestNoWorkerIsOverfilled guards against assigning more to a worker than its capacity.
func TestNoWorkerIsOverfilled(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "a", "q", job.Step{Count: 20})
	starts := commit(p)
	is.Equal(starts[agentName(0)], 4)
	is.Equal(starts[agentName(1)], 4)
}

// TestUrgentWorkGoesFirst guards against tasks of a higher priority waiting behind others for the same capacity.
func TestUrgentWorkGoesFirst(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 4})
	addJob(p, "b", "urgent", job.Step{Count: 3})
	commit(p)
	waiting, _ := p.Task("a.0.0.1")
	urgent, _ := p.Task("b.0.0.2")
	is.Equal(waiting.Phase, job.PhaseWaiting)
	is.Equal(urgent.Phase, job.PhaseAssigned)
}

// TestStartFollowsTheCommit guards against a start order that is sent before its assignment is recorded: a new
// coordinator could not find out where the task runs.
func TestStartFollowsTheCommit(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 1})
	c := p.NextCommit(20, 0, false)
	is.Equal(len(p.TakeOrders()), 0)
	p.HandleCommitFailed(c, func(string) (store.Revision, bool) { return 0, false })
	is.Equal(len(p.TakeOrders()), 0)
	is.Equal(totalStarts(commit(p)), 1)
}

// TestDecisionsBeforeTheStart guards against a start in a zone that was taken out of service between the
// assignment and its commit.
func TestDecisionsBeforeTheStart(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "a", "q", job.Step{Count: 8})
	c := p.NextCommit(20, 0, false)
	operator := p.operator
	operator.ZonesOut = map[string]store.Revision{"north": 7}
	p.HandleCommitFailed(c, func(string) (store.Revision, bool) { return 0, false })
	p.SetOperatorSnapshot(operator)
	starts := commit(p)
	is.Equal(starts[agentName(0)], 0)
	is.Equal(starts[agentName(1)], 4)
}

// TestBoundPerWorker guards against more tasks of a step on a worker than MaxPerWorker, and against a full
// worker preventing assignments to others.
func TestBoundPerWorker(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(3)
	addJob(p, "a", "q", job.Step{Count: 6, MaxPerWorker: 1})
	starts := commit(p)
	is.Equal(totalStarts(starts), 3)
	for _, count := range starts {
		is.Equal(count, 1)
	}
}

// TestLabel guards against a start on a worker without the label that the step requires.
func TestLabel(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	labelled := testReport(1)
	labelled.Labels = []string{"a", "rack-1"}
	p.HandleReport(labelled)
	addJob(p, "a", "q", job.Step{Count: 3, Label: "a"})
	starts := commit(p)
	is.Equal(starts[agentName(0)], 0)
	is.Equal(starts[agentName(1)], 3)
}

// TestFailingWorkerIsSpared guards against assigning further tasks to a worker on which every run fails: with
// three attempts per task, it would fail valid jobs.
func TestFailingWorkerIsSpared(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	for i := range suspectAfter {
		id := fmt.Sprintf("job-%d", i)
		addJob(p, id, "q", job.Step{Count: 1})
		commit(p)
		task, _ := p.Task(id + ".0.0.0")
		p.HandleRunsEnded(task.Worker.Agent, &wire.RunEnded{
			WorkerID: task.Worker.ID, Incarnation: 1,
			Ends: []wire.EndRow{{Number: uint64(i + 1), Task: id + ".0.0.0", Run: task.Run, Outcome: uint8(job.OutcomeFailed)}},
		})
	}
	failing := p.agents[agentName(0)]
	failing.failuresInRow, failing.suspectEnds = suspectAfter, p.now+suspectPeriod
	p.agents[agentName(1)].failuresInRow = 0
	addJob(p, "next", "q", job.Step{Count: 4})
	is.Equal(commit(p)[agentName(0)], 0)
	p.Advance(p.now + 2*suspectPeriod)
	addJob(p, "probe", "q", job.Step{Count: 4})
	is.Equal(commit(p)[agentName(0)], 1) // one probe after the pause
}

// TestImagesKeepTogether guards against spreading serving runs of all images over all workers: a filler that
// interferes with one image would be throttled on every worker.
func TestImagesKeepTogether(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(4)
	for _, image := range []string{"x", "y"} {
		for i := range 2 {
			addJob(p, fmt.Sprintf("%s-%d", image, i), "urgent", job.Step{
				Count: 3, LongRunning: true, Image: image, LatencyTarget: 50 * time.Millisecond,
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

// TestFillersAvoidWhatTheyPress guards against assigning a filler to a worker with a run that it is known to
// interfere with, while another worker has none.
func TestFillersAvoidWhatTheyPress(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "serving", "urgent", job.Step{Count: 2, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
	commit(p)
	task, _ := p.Task("serving.0.0.0")
	p.HandleRunProgress(task.Worker.Agent, &wire.RunProgress{
		WorkerID: task.Worker.ID, Incarnation: 1,
		Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 30}},
		Loads:     []wire.LoadRow{{Task: "serving.0.0.0", Load: 0.5}},
	})
	addJob(p, "filling", "q", job.Step{Count: 1, Filler: true, Image: "heavy"})
	commit(p)
	filler, _ := p.Task("filling.0.0.0")
	is.Equal(filler.Phase, job.PhaseAssigned)
	is.True(filler.Worker.Agent != task.Worker.Agent)
}

// TestTasksOfALostWorkerMoveAfterItsAuthority guards against starting a task on another worker before the lease
// of its unreachable worker has expired, as both could then run it. This also applies to a new coordinator.
func TestTasksOfALostWorkerMoveAfterItsAuthority(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "a", "q", job.Step{Count: 1})
	commit(p)
	task, _ := p.Task("a.0.0.0")
	lastReply := p.now + 2*time.Second
	p.Advance(lastReply + time.Second)
	p.HandleDisconnect(task.Worker.Agent, lastReply)
	p.Advance(lastReply + testTiming.Authority)
	p.Tick()
	is.Equal(totalStarts(commit(p)), 0)
	p.Advance(lastReply + testTiming.Authority + testTiming.Margin)
	p.Tick()
	is.Equal(totalStarts(commit(p)), 1)
	moved, _ := p.Task("a.0.0.0")
	is.Equal(moved.Run, task.Run+1)
}

// TestServingRunsLeaveWorkersToFillers guards against spreading runs with a latency target over all workers
// although half of the workers have the capacity for them: at peak load fillers would be throttled everywhere.
func TestServingRunsLeaveWorkersToFillers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(4)
	for _, image := range []string{"x", "y", "z"} {
		addJob(p, "serving-"+image, "urgent", job.Step{Count: 2, LongRunning: true, Image: image, LatencyTarget: 50 * time.Millisecond})
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

// TestFillerWaitsForHeadroom guards against assigning a filler to a worker on which it would be stopped to
// protect other runs: it would occupy memory there and could not use capacity that becomes free elsewhere.
func TestFillerWaitsForHeadroom(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "serving", "urgent", job.Step{Count: 1, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
	commit(p)
	p.HandleRunProgress(agentName(0), &wire.RunProgress{
		WorkerID: "w-" + agentName(0), Incarnation: 1,
		Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
		Loads:     []wire.LoadRow{{Task: "serving.0.0.0", Load: 0.6}},
	})
	addJob(p, "filling", "q", job.Step{Count: 1, Filler: true, Image: "heavy"})
	is.Equal(totalStarts(commit(p)), 0)
	p.Advance(p.now + 2*time.Second)
	is.Equal(totalStarts(commit(p)), 0)
	// The minimum headroom falls with the waiting time, so that the filler starts in the end.
	p.Advance(p.now + 30*time.Second)
	is.Equal(totalStarts(commit(p)), 1)
}

// TestPlainRunsLeaveRoomToFillers guards against runs that neither serve nor fill on the workers without runs that
// have a latency target: these are the only ones on which fillers can use all processors.
func TestPlainRunsLeaveRoomToFillers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(3)
	addJob(p, "serving", "urgent", job.Step{
		Count: 1, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond, Need: resource.Quantity{MilliCPU: 2000},
	})
	commit(p)
	serving, _ := p.Task("serving.0.0.0")
	addJob(p, "plain", "urgent", job.Step{Count: 4})
	commit(p)
	beside := 0
	for index := range 4 {
		task, _ := p.Task(fmt.Sprintf("plain.0.0.%d", index))
		if task.Worker == serving.Worker {
			beside++
		}
	}
	is.Equal(beside, 2) // as many as fit there
}

// TestRoomGoesToTheFirstJob guards against tasks that are placed without headroom because they have waited for some
// seconds: under overload all waiting tasks would be, and jobs that can be in time would find no room.
func TestRoomGoesToTheFirstJob(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "serving", "urgent", job.Step{Count: 1, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
	commit(p)
	p.HandleRunProgress(agentName(0), &wire.RunProgress{
		WorkerID: "w-" + agentName(0), Incarnation: 1,
		Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.2, Samples: 1000}},
		Loads:     []wire.LoadRow{{Task: "serving.0.0.0", Load: 0.4}},
	})
	filler := job.Step{Filler: true, Image: "heavy", Estimate: 2 * time.Second, Need: resource.Quantity{MilliCPU: 250}}
	large, small := filler, filler
	large.Count, small.Count = 3, 1
	addJob(p, "large", "timed", large)
	is.Equal(totalStarts(commit(p)), 1) // there is room for one
	p.Advance(p.now + fillerPatience - time.Millisecond)
	addJob(p, "small", "timed", small)
	is.Equal(totalStarts(commit(p)), 0)
	endTask(p, "large.0.0.0", 1)
	commit(p)
	task, _ := p.Task("small.0.0.0")
	is.Equal(task.Phase, job.PhaseAssigned)
	task, _ = p.Task("large.0.0.1")
	is.Equal(task.Phase, job.PhaseWaiting)
}

// TestFillerWithoutHeadroomStartsInTime guards against a filler that waits without limit because of a learned
// pressure, while most of the capacity of its service is free.
func TestFillerWithoutHeadroomStartsInTime(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "serving", "urgent", job.Step{
		Count: 2, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond, MaxPerWorker: 1,
		Need: resource.Quantity{MilliCPU: 2000},
	})
	commit(p)
	for i := range 2 {
		p.HandleRunProgress(agentName(i), &wire.RunProgress{
			WorkerID: "w-" + agentName(i), Incarnation: 1,
			Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
		})
	}
	addJob(p, "filling", "q", job.Step{Count: 4, Filler: true, Image: "heavy", Need: resource.Quantity{MilliCPU: 3000}})
	is.Equal(totalStarts(commit(p)), 0)
	p.Advance(p.now + maxJobIdle - time.Millisecond)
	is.Equal(totalStarts(commit(p)), 0)
	p.Advance(p.now + retryInterval)
	is.Equal(totalStarts(commit(p)), 1) // the other tasks wait for headroom
	p.Advance(p.now + retryInterval)
	is.Equal(totalStarts(commit(p)), 0)
}

// TestLargeWorkerTakesLargeFillers guards against fillers of an unknown image that are not assigned to large
// workers because each of their cores is expected to cause as much pressure as on a small worker.
func TestLargeWorkerTakesLargeFillers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	large := testReport(0)
	large.Capacity = resource.Quantity{MilliCPU: 64000, MemoryBytes: 250 << 30}
	p.HandleReport(large)
	addJob(p, "serving", "urgent", job.Step{
		Count: 1, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond, Need: resource.Quantity{MilliCPU: 12000},
	})
	commit(p)
	addJob(p, "filling", "q", job.Step{Count: 2, Filler: true, Image: "new", Need: resource.Quantity{MilliCPU: 7000}})
	is.Equal(totalStarts(commit(p)), 2)
}

// TestLastingFillerIsNotInterrupted guards against moving a long-running task away from a healthy worker although its
// step limits voluntary interruptions with MaxUnavailable.
func TestLastingFillerIsNotInterrupted(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		is := is.New(t)
		p := newTestPlanner(1)
		step := job.Step{Count: 1, Filler: true, LongRunning: true, Checkpoints: true, Image: "heavy"}
		if bounded {
			step.MaxUnavailable = 1
		}
		addJob(p, "filling", "q", step)
		commit(p)
		task, _ := p.Task("filling.0.0.0")
		addJob(p, "serving", "urgent", job.Step{Count: 1, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond})
		commit(p)
		p.HandleReport(testReport(1))
		p.HandleRunProgress(task.Worker.Agent, &wire.RunProgress{
			WorkerID: task.Worker.ID, Incarnation: 1,
			Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
			Throttled: []wire.ThrottledRow{{Task: "filling.0.0.0", Run: task.Run, DurationMillis: 5000}},
		})
		stops := 0
		for _, order := range p.TakeOrders() {
			if _, ok := order.Message.(*wire.StopRun); ok {
				stops++
			}
		}
		is.Equal(stops == 0, bounded) // without MaxUnavailable it moves to the free worker
	}
}
