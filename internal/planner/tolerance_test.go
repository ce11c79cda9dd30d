package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// restartBound is within the stated limit of 6 s after a task's last run, of which the loss of the run may take 3 s to be
// noticed.
const restartBound = 3 * time.Second

// waitingTasks returns the number of tasks of a step that are not assigned.
func waitingTasks(p *Planner, id string, count int) int {
	waiting := 0
	for index := range count {
		if task, _ := p.Task(fmt.Sprintf("%s.0.0.%d", id, index)); task.Phase == job.PhaseWaiting {
			waiting++
		}
	}
	return waiting
}

// addServingLoad places a run with a latency target on each worker that leaves no headroom to fillers of the image heavy.
func addServingLoad(p *Planner, workers int) {
	addJob(p, "serving", "urgent", job.Step{
		Count: workers, LongRunning: true, Image: "x", LatencyTarget: 50 * time.Millisecond, MaxPerWorker: 1,
	})
	commit(p)
	for i := range workers {
		name := fmt.Sprintf("serving.0.0.%d", i)
		task, _ := p.Task(name)
		p.HandleRunProgress(task.Worker.Agent, &wire.RunProgress{
			WorkerID: task.Worker.ID, Incarnation: 1,
			Pressures: []wire.PressureRow{{Serving: "x", Filler: "heavy", Value: 0.3, Samples: 100}},
			Loads:     []wire.LoadRow{{Task: name, Load: 0.6}},
		})
	}
}

// TestLongRunningFillersDoNotWaitForHeadroom guards against long-running tasks that stand still beside free capacity: each
// waited for headroom, one after the other.
func TestLongRunningFillersDoNotWaitForHeadroom(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addServingLoad(p, 2)
	addJob(p, "watch", "q", job.Step{Count: 6, LongRunning: true, Filler: true, Image: "heavy"})
	addJob(p, "batch", "q", job.Step{Count: 2, Filler: true, Image: "heavy"})
	advance(p, restartBound)
	is.Equal(waitingTasks(p, "watch", 6), 0)
	is.Equal(waitingTasks(p, "batch", 2), 1) // one run a job that ends starts without headroom
}

// TestLongRunningFillersDoNotWaitForIdleProcessors guards against the same where other fillers use all processors.
func TestLongRunningFillersDoNotWaitForIdleProcessors(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "batch", "q", job.Step{Count: 4, Filler: true, Image: "heavy"})
	commit(p)
	addJob(p, "watch", "q", job.Step{Count: 2, LongRunning: true, Filler: true, Image: "heavy"})
	advance(p, restartBound)
	is.Equal(waitingTasks(p, "watch", 2), 0)
}

// TestLongRunningTasksUseSuspectedWorkers guards against long-running tasks that stand still while all workers pause after
// failed runs of other jobs.
func TestLongRunningTasksUseSuspectedWorkers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	for i := range 3 * suspectAfter {
		id := fmt.Sprintf("failing-%d", i)
		addJob(p, id, "q", job.Step{Count: 1})
		commit(p)
		endRun(p, id+".0.0.0", job.OutcomeFailed)
		p.Cancel(id)
		advance(p, maxSuspectPeriod+probePeriod)
	}
	addJob(p, "last", "q", job.Step{Count: 1})
	commit(p)
	endRun(p, "last.0.0.0", job.OutcomeFailed)
	addJob(p, "watch", "q", job.Step{Count: 3, LongRunning: true, Need: resource.Quantity{MilliCPU: 1000}})
	advance(p, restartBound)
	is.Equal(waitingTasks(p, "watch", 3), 0)
	is.Equal(waitingTasks(p, "last", 1), 1) // a failed run would cost the batch job one of its attempts
}

// TestLongRunningTasksPreferSoundWorkers guards against a start on a suspected worker while a sound one has room.
func TestLongRunningTasksPreferSoundWorkers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addServingLoad(p, 2)
	suspected := p.agents[agentName(0)]
	suspected.failuresInRow, suspected.suspectEnds = suspectAfter, p.now+maxSuspectPeriod
	addJob(p, "watch", "q", job.Step{Count: 3, LongRunning: true, Filler: true, Image: "heavy"})
	advance(p, restartBound)
	for index := range 3 {
		task, _ := p.Task(fmt.Sprintf("watch.0.0.%d", index))
		is.Equal(task.Worker.Agent, agentName(1))
	}
}
