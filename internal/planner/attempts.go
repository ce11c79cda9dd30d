package planner

import "clementineflow/internal/job"

// attemptLimit returns the number of failed runs of one task at which the job fails. It is unknown until the
// coordinator has received a configuration: the operator may have changed the limit since the job was submitted. If the
// queue was removed, it is the limit that the queue had when the job was submitted.
func (p *Planner) attemptLimit(e *entry) (limit int, known bool) {
	if p.operator.Config == nil {
		return 0, false
	}
	if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok {
		return queue.AttemptLimit(), true
	}
	return e.spec.MaxAttempts, e.spec.MaxAttempts > 0
}

// failIfExhausted fails the job of a task that has used all of its attempts. While the limit is unknown, the failures
// are only counted.
func (p *Planner) failIfExhausted(r ref) {
	limit, known := p.attemptLimit(r.entry)
	failures := int(r.task().Failures)
	if !known || failures < limit {
		return
	}
	p.log("job failed", "job", r.entry.spec.ID, "task", r.name(), "failures", failures, "limit", limit)
	p.finishJob(r.entry, job.StateFailed)
}

// failExhaustedTasks fails the job if a task that waits for its next run has used all of its attempts. It makes up for
// decisions that were not possible before the limit was known.
func (p *Planner) failExhaustedTasks(e *entry) {
	for step := range e.progress.Steps {
		for index := range e.progress.Steps[step] {
			r := ref{e, step, index}
			if e.progress.State.Final() {
				return
			}
			if r.task().Phase == job.PhaseWaiting && r.task().Failures > 0 && !r.definition().LongRunning {
				p.failIfExhausted(r)
			}
		}
	}
}
