package planner

import (
	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// ReasonUnanswered is the reason in a RunAbsent message if the worker did not answer the start request.
const ReasonUnanswered = "unanswered"

// HandleRunsEnded records the ends of runs that an agent reports, also those on a worker that was lost before the
// coordinator heard of it.
func (p *Planner) HandleRunsEnded(agentName string, report *wire.RunEnded) {
	a := p.agents[agentName]
	if a == nil {
		return
	}
	incarnation := job.WorkerIncarnation{Agent: agentName, ID: report.WorkerID, Incarnation: report.Incarnation}
	for i := range report.Ends {
		if a.endsTruncated && a.incarnation == incarnation {
			p.adoptReportedRun(incarnation, report.Ends[i].Task, report.Ends[i].Run)
		}
		p.handleEnd(a, incarnation, &report.Ends[i])
	}
}

// handleEnd records one reported end of a run on an incarnation of the agent's worker, and confirms it to the agent
// after it was committed.
func (p *Planner) handleEnd(a *agent, incarnation job.WorkerIncarnation, row *wire.EndRow) {
	confirm := Order{Agent: a.name, Message: &wire.ConfirmEnds{
		WorkerID: incarnation.ID, Incarnation: incarnation.Incarnation, Numbers: []uint64{row.Number},
	}}
	r, ok := p.findTask(row.Task)
	if !ok {
		p.orders = append(p.orders, confirm)
		return
	}
	task := r.task()
	if task.Phase == job.PhaseAssigned && task.Worker == incarnation && task.Run == row.Run {
		p.recordEnd(a, r, job.Outcome(row.Outcome), row.Checkpoint)
	}
	p.afterCommit(r.entry, confirm)
}

// recordEnd records the end of the current run of a task.
func (p *Planner) recordEnd(a *agent, r ref, outcome job.Outcome, checkpoint string) {
	stopping, startedAt := r.run().stopping, r.run().startedAt
	task, e := r.task(), r.entry
	p.releaseTask(r)
	if checkpoint != "" {
		task.Checkpoint = checkpoint
	}
	p.log("run ended", "task", r.name(), "run", task.Run, "agent", a.name, "outcome", outcome,
		"estimate_ms", r.definition().Estimate.Milliseconds())
	if e.progress.State.Final() {
		return
	}
	p.markDirty(e)
	switch {
	case outcome == job.OutcomeDone && !r.definition().LongRunning:
		a.resetFailures()
		if startedAt > 0 && task.Checkpoint == "" {
			p.durations.observe(e.spec.Queue, p.now-startedAt)
		}
		p.completeTask(r)
	case outcome == job.OutcomeFailed:
		p.recordFailure(a, r)
	case outcome == job.OutcomeStopped && !stopping, outcome == job.OutcomeLeaseExpired:
		r.run().avoid = a.name
	}
}

// completeTask marks a task as done, and its job if this was the last open task.
func (p *Planner) completeTask(r ref) {
	task := r.task()
	r.entry.setPhase(r, job.PhaseDone)
	r.entry.progressAt = p.now
	task.Checkpoint = ""
	if r.entry.allDone() {
		r.entry.progress.State = job.StateDone
	}
}

// recordFailure counts a failed run. The job fails when one of its tasks has used all of its attempts.
func (p *Planner) recordFailure(a *agent, r ref) {
	if a.addFailure(p.now) {
		p.log("worker suspected", "agent", a.name, "failures_in_row", a.failuresInRow, "until_ms", (a.suspectEnds - p.now).Milliseconds())
	}
	r.run().avoid = a.name
	task := r.task()
	task.Checkpoint = ""
	if r.definition().LongRunning {
		return
	}
	task.Failures++
	p.failIfExhausted(r)
}

// HandleRunAbsent releases a task whose run is not on its worker and cannot start there any more.
func (p *Planner) HandleRunAbsent(agentName string, report *wire.RunAbsent) {
	a := p.agents[agentName]
	r, ok := p.findTask(report.Task)
	if a == nil || !ok {
		return
	}
	incarnation := job.WorkerIncarnation{Agent: agentName, ID: report.WorkerID, Incarnation: report.Incarnation}
	task := r.task()
	if task.Phase != job.PhaseAssigned || task.Worker != incarnation || task.Run != report.Run {
		return
	}
	p.log("run is absent", "task", report.Task, "run", report.Run, "agent", agentName, "reason", report.Reason)
	a.penaltyEnds = p.now + refusalPause
	if report.Reason == ReasonUnanswered {
		a.penaltyEnds = p.now + suspectPeriod
	}
	p.releaseTask(r)
	r.run().avoid = agentName
	if !r.entry.progress.State.Final() {
		p.markDirty(r.entry)
	}
}
