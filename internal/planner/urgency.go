package planner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/urgency"
)

// maxRankAge is how long the rank of a job is cached.
const maxRankAge = 50 * time.Millisecond

// milliPerCore converts thousandths of a core to cores.
const milliPerCore = 1000

// currentRank returns the rank of a job, which may be cached for up to maxRankAge.
func (p *Planner) currentRank(e *entry) urgency.Rank {
	if e.cachedRankAt == 0 || p.now-e.cachedRankAt >= maxRankAge {
		e.cachedRank, e.cachedRankAt = p.computeRank(e), p.now
	}
	return e.cachedRank
}

// computeRank returns the rank of a job at the current time. Jobs without an objective come first.
func (p *Planner) computeRank(e *entry) urgency.Rank {
	rank := urgency.Rank{Priority: p.priority(e), Level: urgency.InTime}
	e.cachedObjective = 0
	queue, ok := p.timedQueue(e)
	if !ok {
		return rank
	}
	total, remaining := p.criticalPath(e)
	objective := objectiveOf(queue, total)
	e.cachedObjective = objective
	deadline := urgency.Deadline{InTime: e.submittedAt + objective, Useful: e.submittedAt + urgency.LateFactor*objective}
	rank.Level, rank.Work = deadline.Level(p.now+remaining), p.remainingWork(e)
	return rank
}

// timedQueue returns the queue of a job that has an objective, or false if the job has none.
func (p *Planner) timedQueue(e *entry) (*operatorconfig.Queue, bool) {
	if p.operator.Config == nil || e.runsUntilCancelled() {
		return nil, false
	}
	queue, ok := p.operator.Config.Queue(e.spec.Queue)
	if !ok || queue.SlackFactor == 0 {
		return nil, false
	}
	return queue, true
}

// objective returns the target time from submission to end of a job, or zero if it has none.
func (p *Planner) objective(e *entry) time.Duration {
	queue, ok := p.timedQueue(e)
	if !ok {
		return 0
	}
	total, _ := p.criticalPath(e)
	return objectiveOf(queue, total)
}

// objectiveOf returns the target time from submission to end of a job of the queue with a critical path of the
// given duration.
func objectiveOf(queue *operatorconfig.Queue, criticalPath time.Duration) time.Duration {
	return queue.Objective + time.Duration(queue.SlackFactor*float64(criticalPath))
}

// remainingWork returns the expected processor time of the open tasks of a job.
func (p *Planner) remainingWork(e *entry) time.Duration {
	total := 0.0
	for step := range e.spec.Steps {
		definition := &e.spec.Steps[step]
		expected := float64(p.durations.expected(e.spec.Queue, definition.Estimate))
		total += expected * e.openTasks(step) * float64(definition.Need.MilliCPU) / milliPerCore
	}
	return time.Duration(total)
}

// openTasks returns the sum of the remaining shares of work of the step's tasks.
func (e *entry) openTasks(step int) float64 {
	open := 0.0
	for index := range e.progress.Steps[step] {
		switch e.progress.Steps[step][index].Phase {
		case job.PhaseWaiting:
			open++
		case job.PhaseAssigned:
			open += 1 - float64(e.runs[step][index].percent)/fullPercent
		}
	}
	return open
}

// criticalPath returns the expected duration of the longest chain of dependent steps of a job, and that of the
// longest chain of the remaining work.
func (p *Planner) criticalPath(e *entry) (total, remaining time.Duration) {
	totals := make([]time.Duration, len(e.spec.Steps))
	remainings := make([]time.Duration, len(e.spec.Steps))
	for step := range e.spec.Steps {
		expected := p.durations.expected(e.spec.Queue, e.spec.Steps[step].Estimate)
		totals[step] = expected
		remainings[step] = time.Duration(e.remainingShare(step) * float64(expected))
		for _, earlier := range e.spec.Steps[step].After {
			totals[step] = max(totals[step], totals[earlier]+expected)
			remainings[step] = max(remainings[step], remainings[earlier]+remainings[step])
		}
	}
	return slices.Max(totals), slices.Max(remainings)
}

// remainingShare returns the largest remaining share of work of the step's tasks, from 0 to 1.
func (e *entry) remainingShare(step int) float64 {
	open := 0.0
	for index := range e.progress.Steps[step] {
		switch e.progress.Steps[step][index].Phase {
		case job.PhaseWaiting:
			return 1
		case job.PhaseAssigned:
			open = max(open, 1-float64(e.runs[step][index].percent)/fullPercent)
		}
	}
	return open
}

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// runsUntilCancelled reports whether the job has tasks that run until it is cancelled.
func (e *entry) runsUntilCancelled() bool {
	return slices.ContainsFunc(e.spec.Steps, func(step job.Step) bool { return step.LongRunning })
}

// compareCandidates orders candidates by rank. Of equal jobs the newest comes first: under overload, the oldest
// have the least time left and would end late.
func (p *Planner) compareCandidates(x, y candidate) int {
	return cmp.Or(
		p.options.Order.Compare(x.rank, y.rank),
		cmp.Compare(y.entry.submittedAt, x.entry.submittedAt),
	)
}
