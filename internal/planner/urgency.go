package planner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
)

// urgency orders the jobs of one priority. Under overload, serving jobs in the order of arrival makes nearly
// every job late, as each waits until little time is left. Capacity therefore goes to jobs that can still meet
// their objective: first to those that have started, then to the most recently submitted.
type urgency uint8

const (
	// urgencyStarted is a job that has started and can meet its objective, or a job without an objective.
	urgencyStarted urgency = iota
	// urgencyInTime is a job that has not started and can meet its objective.
	urgencyInTime
	// urgencyLate is a job that can no longer meet its objective, but can end within lateFactor times it.
	urgencyLate
	// urgencyOverdue is any other job.
	urgencyOverdue
)

// lateFactor is the multiple of its objective within which the result of a late job is still useful.
const lateFactor = 3

// rank orders a candidate among those of its priority.
type rank struct {
	urgency urgency
	// slack is by how much the job can be delayed and still meet the bound of its urgency.
	slack time.Duration
}

// maxRankAge is how long the rank of a job is cached.
const maxRankAge = 50 * time.Millisecond

// currentRank returns the rank of a job, which may be cached for up to maxRankAge.
func (p *Planner) currentRank(e *entry) rank {
	if e.cachedRankAt == 0 || p.now-e.cachedRankAt >= maxRankAge {
		e.cachedRank, e.cachedRankAt = p.computeRank(e), p.now
	}
	return e.cachedRank
}

// computeRank returns the rank of a job at the current time.
func (p *Planner) computeRank(e *entry) rank {
	queue, ok := p.operator.Config.Queue(e.spec.Queue)
	if !ok || e.runsUntilCancelled() || queue.SlackFactor == 0 {
		return rank{urgency: urgencyStarted}
	}
	total, remaining := p.criticalPath(e)
	objective := objectiveOf(queue, total)
	slack := objective - (p.now - e.submittedAt) - remaining
	late := slack + (lateFactor-1)*objective
	switch {
	case slack >= 0 && e.hasStarted:
		return rank{urgencyStarted, slack}
	case slack >= 0:
		return rank{urgencyInTime, slack}
	case late >= 0:
		return rank{urgencyLate, late}
	default:
		return rank{urgency: urgencyOverdue}
	}
}

// objectiveOf returns the target time from submission to end of a job of the queue with a critical path of the
// given duration.
func objectiveOf(queue *operatorconfig.Queue, criticalPath time.Duration) time.Duration {
	return queue.Objective + time.Duration(queue.SlackFactor*float64(criticalPath))
}

// objective returns the target time from submission to end of a job, or zero if its queue has none.
func (p *Planner) objective(e *entry) time.Duration {
	queue, ok := p.operator.Config.Queue(e.spec.Queue)
	if !ok || e.runsUntilCancelled() || queue.SlackFactor == 0 {
		return 0
	}
	total, _ := p.criticalPath(e)
	return objectiveOf(queue, total)
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

// compareCandidates orders candidates by priority, urgency and time of submission.
func compareCandidates(x, y candidate) int {
	return cmp.Or(
		cmp.Compare(x.priority, y.priority),
		cmp.Compare(x.rank.urgency, y.rank.urgency),
		compareWithinUrgency(x, y),
	)
}

// compareWithinUrgency orders candidates of one urgency by the time of submission: the newest first for
// urgencyInTime, otherwise the oldest first.
func compareWithinUrgency(x, y candidate) int {
	if x.rank.urgency == urgencyInTime {
		return cmp.Compare(y.entry.submittedAt, x.entry.submittedAt)
	}
	return cmp.Compare(x.entry.submittedAt, y.entry.submittedAt)
}
