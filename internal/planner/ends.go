package planner

import (
	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// ReasonUnanswered is the reason of a RunAbsent for a start that the worker never answered.
const ReasonUnanswered = "unanswered"

// Ended takes in listed ends of runs.
func (p *Planner) Ended(agentName string, report *wire.RunEnded) {
	a := p.agents[agentName]
	if a == nil || a.life.ID != report.WorkerID || a.life.Born != report.Born {
		return
	}
	for i := range report.Ends {
		p.end(a, &report.Ends[i])
	}
}

// end takes in one listed end and confirms it once it is recorded.
func (p *Planner) end(a *agent, row *wire.EndRow) {
	confirm := Order{Agent: a.name, Message: &wire.ConfirmEnds{
		WorkerID: a.life.ID, Born: a.life.Born, Numbers: []uint64{row.Number},
	}}
	r, ok := p.find(row.Task)
	if !ok {
		p.orders = append(p.orders, confirm)
		return
	}
	task := r.task()
	if task.Phase == job.PhaseAssigned && task.Worker == a.life && task.Run == row.Run {
		p.settle(a, r, job.Outcome(row.Outcome), row.Saved)
	}
	p.afterCommit(r.entry, confirm)
}

// settle records the end of the current run of a task.
func (p *Planner) settle(a *agent, r ref, outcome job.Outcome, saved string) {
	stopping, startedAt := r.run().stopping, r.run().startedAt
	task, e := r.task(), r.entry
	p.release(r)
	if saved != "" {
		task.Saved = saved
	}
	p.log("run ended", "task", r.name(), "run", task.Run, "agent", a.name, "outcome", outcome)
	if e.progress.State.Final() {
		return
	}
	p.markDirty(e)
	switch {
	case outcome == job.OutcomeDone && !r.definition().Lasting:
		a.succeed()
		if startedAt > 0 && task.Saved == "" {
			p.durations.note(e.spec.Queue, p.now-startedAt)
		}
		p.complete(r)
	case outcome == job.OutcomeFailed:
		p.failRun(a, r)
	case outcome == job.OutcomeStopped && !stopping, outcome == job.OutcomeLapsed:
		r.run().avoid = a.name
	}
}

// complete records that a task is done, and the job with its last task.
func (p *Planner) complete(r ref) {
	task := r.task()
	r.entry.setPhase(r, job.PhaseDone)
	task.Saved = ""
	if r.entry.allDone() {
		r.entry.progress.State = job.StateDone
	}
}

// failRun counts a failed run. A job fails with the task that has used all of its attempts.
func (p *Planner) failRun(a *agent, r ref) {
	if a.fail(p.now) {
		p.log("worker suspected", "agent", a.name, "failures_in_row", a.failuresInRow, "until_ms", (a.suspectEnds - p.now).Milliseconds())
	}
	r.run().avoid = a.name
	task := r.task()
	task.Saved = ""
	if r.definition().Lasting {
		return
	}
	task.Failures++
	if int(task.Failures) >= p.maxAttempts(r.entry) {
		p.log("job failed", "job", r.entry.spec.ID, "task", r.name(), "failures", task.Failures)
		p.finish(r.entry, job.StateFailed)
	}
}

// maxAttempts returns how many runs of one task of the job may fail.
func (p *Planner) maxAttempts(e *entry) int {
	if p.operator.Config != nil {
		if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok && queue.MaxAttempts > 0 {
			return queue.MaxAttempts
		}
	}
	return 1
}

// Absent takes in that a run is not on its worker and never will be.
func (p *Planner) Absent(agentName string, report *wire.RunAbsent) {
	a := p.agents[agentName]
	r, ok := p.find(report.Task)
	if a == nil || !ok {
		return
	}
	life := job.WorkerLife{Agent: agentName, ID: report.WorkerID, Born: report.Born}
	task := r.task()
	if task.Phase != job.PhaseAssigned || task.Worker != life || task.Run != report.Run {
		return
	}
	p.log("run is absent", "task", report.Task, "run", report.Run, "agent", agentName, "reason", report.Reason)
	a.penaltyEnds = p.now + refusalPenalty
	if report.Reason == ReasonUnanswered {
		a.penaltyEnds = p.now + suspectPeriod
	}
	p.release(r)
	r.run().avoid = agentName
	if !r.entry.progress.State.Final() {
		p.markDirty(r.entry)
	}
}
