package planner

import (
	"time"

	"clementineflow/internal/job"
)

// pendingCancel is a stored cancellation of a job that was not added yet.
type pendingCancel struct {
	// since is when the cancellation was last received.
	since time.Duration
	// removing is set once its removal was scheduled.
	removing bool
}

// Cancel moves a job to the cancelled state and stops its runs. A job that was not added yet is cancelled when
// it is added.
func (p *Planner) Cancel(id string) {
	e, ok := p.jobs[id]
	if !ok {
		p.addPendingCancel(id)
		return
	}
	p.removePendingCancel(id)
	if e.progress.State.Final() {
		return
	}
	p.log("job cancelled", "job", id)
	p.finishJob(e, job.StateCancelled)
}

// finishJob moves a job to a final state and stops its remaining runs.
func (p *Planner) finishJob(e *entry, state job.State) {
	e.progress.State = state
	p.markDirty(e)
	for step := range e.progress.Steps {
		for index := range e.progress.Steps[step] {
			p.stopOrRelease(ref{e, step, index})
		}
	}
}

// stopOrRelease stops a run that may exist on its worker, or releases an assignment for which no start order
// was sent.
func (p *Planner) stopOrRelease(r ref) {
	if r.task().Phase != job.PhaseAssigned {
		return
	}
	if !r.run().ordered {
		p.releaseTask(r)
		return
	}
	p.sendStop(r)
}
