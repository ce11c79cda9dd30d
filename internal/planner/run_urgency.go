package planner

import (
	"time"

	"clementineflow/internal/wire"
)

// runUrgency returns what the agent needs to order a run among the fillers of its worker.
func (p *Planner) runUrgency(r ref) *wire.RunUrgency {
	rank := p.currentRank(r.entry)
	result := &wire.RunUrgency{
		Priority:       rank.Priority,
		ExpectedMillis: p.durations.expected(r.entry.spec.Queue, r.definition().Estimate).Milliseconds(),
		WorkMillis:     rank.Work.Milliseconds(),
	}
	if deadline := p.deadline(r.entry); deadline.InTime != 0 {
		following := p.followingPath(r.entry, r.step)
		result.Timed = true
		result.InTimeMillis = (deadline.InTime - following - p.now).Milliseconds()
		result.UsefulMillis = (deadline.Useful - following - p.now).Milliseconds()
	}
	return result
}

// followingPath returns the expected duration of the longest chain of steps that depend on the step.
func (p *Planner) followingPath(e *entry, step int) time.Duration {
	following := make([]time.Duration, len(e.spec.Steps))
	for later := len(e.spec.Steps) - 1; later > step; later-- {
		chain := following[later] + p.durations.expected(e.spec.Queue, e.spec.Steps[later].Estimate)
		for _, earlier := range e.spec.Steps[later].After {
			following[earlier] = max(following[earlier], chain)
		}
	}
	return following[step]
}
