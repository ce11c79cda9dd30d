package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// endRun reports an end of the current run of a task.
func endRun(p *Planner, name string, outcome job.Outcome) {
	task, _ := p.Task(name)
	p.HandleRunsEnded(task.Worker.Agent, &wire.RunEnded{
		WorkerID: task.Worker.ID, Incarnation: task.Worker.Incarnation,
		Ends: []wire.EndRow{{Number: 1, Task: name, Run: task.Run, Outcome: uint8(outcome)}},
	})
}

// suspectOnlyWorker returns a planner whose only worker is suspected after failed runs, at the time of its first probe.
func suspectOnlyWorker() *Planner {
	p := newTestPlanner(1)
	for i := range suspectAfter {
		id := fmt.Sprintf("failing-%d", i)
		addJob(p, id, "q", job.Step{Count: 1})
		commit(p)
		endRun(p, id+".0.0.0", job.OutcomeFailed)
		p.Cancel(id)
	}
	commit(p)
	p.Advance(p.now + suspectPeriod + time.Millisecond)
	return p
}

// TestProbeThatLastsClearsTheSuspicion guards against a worker that gets no other run for good because its probe is a
// task that lasts, and so never ends.
func TestProbeThatLastsClearsTheSuspicion(t *testing.T) {
	is := is.New(t)
	p := suspectOnlyWorker()
	addJob(p, "watch", "q", job.Step{Count: 1, LongRunning: true})
	is.Equal(totalStarts(commit(p)), 1)
	addJob(p, "next", "q", job.Step{Count: 3})
	is.Equal(totalStarts(commit(p)), 0)
	task, _ := p.Task("watch.0.0.0")
	p.HandleRunProgress(agentName(0), &wire.RunProgress{
		WorkerID: task.Worker.ID, Incarnation: 1, Runs: []wire.RunRow{{Task: "watch.0.0.0", Run: task.Run, ProgressPercent: 100}},
	})
	advance(p, retryInterval)
	next, _ := p.Task("next.0.0.2")
	is.Equal(next.Phase, job.PhaseAssigned)
}

// TestNextProbeFollowsALongOne guards against a suspected worker that gets no run while its probe works for long, and
// against one whose probe was cancelled while other runs are on the worker.
func TestNextProbeFollowsALongOne(t *testing.T) {
	is := is.New(t)
	p := suspectOnlyWorker()
	addJob(p, "first", "q", job.Step{Count: 1})
	is.Equal(totalStarts(commit(p)), 1)
	addJob(p, "second", "q", job.Step{Count: 1})
	addJob(p, "third", "q", job.Step{Count: 1})
	is.Equal(totalStarts(commit(p)), 0)
	advance(p, probePeriod+retryInterval)
	second, _ := p.Task("second.0.0.0")
	is.Equal(second.Phase, job.PhaseAssigned)
	p.Cancel("second")
	endRun(p, "second.0.0.0", job.OutcomeStopped)
	advance(p, retryInterval)
	third, _ := p.Task("third.0.0.0")
	is.Equal(third.Phase, job.PhaseAssigned)
}
