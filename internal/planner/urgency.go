package planner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/job"
)

// urgency ranks the jobs of one priority for the same room. When more work comes than the workers can do,
// work in the order of arrival makes every job late: each waits until its time is nearly up. Room goes to
// jobs that can still be in time instead, first to those that have begun, then to the latest to come.
type urgency uint8

const (
	// urgencyBegun is a job that has begun and can be in time, or that runs until it is cancelled.
	urgencyBegun urgency = iota
	// urgencyInTime is a job that has not begun and can be in time.
	urgencyInTime
	// urgencyLate is a job that can be done within lateFactor times its objective.
	urgencyLate
	// urgencyOverdue is any other job.
	urgencyOverdue
)

// lateFactor is how many times its objective a job may take to be of use at all.
const lateFactor = 3

// rank is the order of a candidate among those of its priority.
type rank struct {
	urgency urgency
	// slack is how much later the job could go on and still keep the bound of its urgency.
	slack time.Duration
}

// rankAge is how long the rank of a job is used before it is worked out again.
const rankAge = 50 * time.Millisecond

// currentRank returns how urgent a job is, at most rankAge old.
func (p *Planner) currentRank(e *entry) rank {
	if e.rankedAt == 0 || p.now-e.rankedAt >= rankAge {
		e.ranked, e.rankedAt = p.rank(e), p.now
	}
	return e.ranked
}

// rank returns how urgent a job is.
func (p *Planner) rank(e *entry) rank {
	queue, ok := p.operator.Config.Queue(e.spec.Queue)
	if !ok || e.lasting() || queue.SlackFactor == 0 {
		return rank{urgency: urgencyBegun}
	}
	total, remaining := p.chains(e)
	objective := queue.Objective + time.Duration(queue.SlackFactor*float64(total))
	slack := objective - (p.now - e.handedIn) - remaining
	late := slack + (lateFactor-1)*objective
	switch {
	case slack >= 0 && e.startedAny:
		return rank{urgencyBegun, slack}
	case slack >= 0:
		return rank{urgencyInTime, slack}
	case late >= 0:
		return rank{urgencyLate, late}
	default:
		return rank{urgency: urgencyOverdue}
	}
}

// chains returns the expected duration of the longest chain of a job's steps, and of what remains of it.
func (p *Planner) chains(e *entry) (total, remaining time.Duration) {
	totals := make([]time.Duration, len(e.spec.Steps))
	remainings := make([]time.Duration, len(e.spec.Steps))
	for step := range e.spec.Steps {
		expected := p.durations.expect(e.spec.Queue, e.spec.Steps[step].Estimate)
		totals[step] = expected
		remainings[step] = time.Duration(e.openShare(step) * float64(expected))
		for _, earlier := range e.spec.Steps[step].After {
			totals[step] = max(totals[step], totals[earlier]+expected)
			remainings[step] = max(remainings[step], remainings[earlier]+remainings[step])
		}
	}
	return slices.Max(totals), slices.Max(remainings)
}

// openShare returns the part of the step's longest task that is not done yet.
func (e *entry) openShare(step int) float64 {
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

// lasting reports whether tasks of the job run until it is cancelled.
func (e *entry) lasting() bool {
	return slices.ContainsFunc(e.spec.Steps, func(step job.Step) bool { return step.Lasting })
}

// compareCandidates orders candidates for the same room.
func compareCandidates(x, y candidate) int {
	return cmp.Or(
		cmp.Compare(x.priority, y.priority),
		cmp.Compare(x.rank.urgency, y.rank.urgency),
		compareWithin(x, y),
	)
}

// compareWithin orders candidates of one urgency.
func compareWithin(x, y candidate) int {
	if x.rank.urgency == urgencyInTime {
		return cmp.Compare(y.entry.handedIn, x.entry.handedIn)
	}
	return cmp.Compare(x.entry.handedIn, y.entry.handedIn)
}
