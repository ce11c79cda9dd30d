package planner

import (
	"time"

	"clementineflow/internal/job"
)

// longRunningTask is the state of one long-running task, across its runs.
type longRunningTask struct {
	// atWorkAt is when an agent last reported a run of the task at work, or when the job was added to the planner.
	atWorkAt time.Duration
	// reportedAt is when an agent last reported a run of the task.
	reportedAt time.Duration
	// loggedAt is when the task was last logged as stalled, or zero since it was last at work.
	loggedAt time.Duration
}

// newLongRunningTasks returns the states of a job's long-running tasks by step and index, or nil if it has none.
func newLongRunningTasks(spec *job.Spec, now time.Duration) [][]longRunningTask {
	var tasks [][]longRunningTask
	for step := range spec.Steps {
		if !spec.Steps[step].LongRunning {
			continue
		}
		if tasks == nil {
			tasks = make([][]longRunningTask, len(spec.Steps))
		}
		tasks[step] = make([]longRunningTask, spec.Steps[step].Count)
		for index := range tasks[step] {
			tasks[step][index].atWorkAt = now
		}
	}
	return tasks
}

// longRunning returns the state of a long-running task.
func (r ref) longRunning() *longRunningTask { return &r.entry.longRunning[r.step][r.index] }

// recordAtWork records a report on the current run of a task if the task is long-running.
func (p *Planner) recordAtWork(r ref) {
	if !r.definition().LongRunning {
		return
	}
	state := r.longRunning()
	state.reportedAt = p.now
	if r.run().percent < fullPercent {
		return
	}
	if state.loggedAt > 0 {
		p.log("stalled task is at work again", "task", r.name(), "run", r.task().Run, "agent", r.task().Worker.Agent,
			"stalled_ms", (p.now - state.atWorkAt).Milliseconds())
	}
	state.atWorkAt, state.loggedAt = p.now, 0
}
