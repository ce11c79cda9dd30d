package planner

import (
	"time"

	"clementineflow/internal/job"
)

// lastingTask is the state of one long-running task, across its runs.
type lastingTask struct {
	// atWorkAt is when an agent last reported a run of the task at work, or when the job was added to the planner.
	atWorkAt time.Duration
	// reportedAt is when an agent last reported a run of the task.
	reportedAt time.Duration
	// loggedAt is when the task was last logged as stalled, or zero since it was last at work.
	loggedAt time.Duration
}

// newLasting returns the states of a job's long-running tasks by step and index, or nil if it has none.
func newLasting(spec *job.Spec, now time.Duration) [][]lastingTask {
	var lasting [][]lastingTask
	for step := range spec.Steps {
		if !spec.Steps[step].LongRunning {
			continue
		}
		if lasting == nil {
			lasting = make([][]lastingTask, len(spec.Steps))
		}
		lasting[step] = make([]lastingTask, spec.Steps[step].Count)
		for index := range lasting[step] {
			lasting[step][index].atWorkAt = now
		}
	}
	return lasting
}

// lasting returns the state of a long-running task.
func (r ref) lasting() *lastingTask { return &r.entry.lasting[r.step][r.index] }

// recordAtWork records a report on the current run of a task if the task is long-running.
func (p *Planner) recordAtWork(r ref) {
	if !r.definition().LongRunning {
		return
	}
	state := r.lasting()
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
