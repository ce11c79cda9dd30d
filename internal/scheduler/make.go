package scheduler

import (
	"math/rand/v2"

	"clementineflow/internal/task"
)

// Make returns the plan for a snapshot. Equal snapshots and random sources give equal plans.
func Make(snapshot *Snapshot, random *rand.Rand) Plan {
	if snapshot.Document == nil {
		return withoutConfiguration(snapshot)
	}
	c := newCycle(snapshot, random)
	waiting := newQueue(c, c.candidates())
	for t := waiting.next(); t != nil; t = waiting.next() {
		c.schedule(t)
	}
	c.drain()
	return c.plan
}

func withoutConfiguration(snapshot *Snapshot) Plan {
	var plan Plan
	for _, record := range snapshot.Pending {
		plan.Unscheduled = append(plan.Unscheduled, Unscheduled{TaskID: record.ID, Cause: CauseNoConfiguration})
	}
	return plan
}

// candidates returns the pending tasks whose delay is over.
func (c *cycle) candidates() []*candidate {
	candidates := make([]*candidate, 0, len(c.snapshot.Pending))
	for _, record := range c.snapshot.Pending {
		if c.snapshot.Now.Before(record.NotBefore) {
			c.unscheduled(record, CauseDelayed, &tally{})
			continue
		}
		candidates = append(candidates, c.candidate(record))
	}
	return candidates
}

func (c *cycle) schedule(t *candidate) {
	if !c.withinQuota(t) {
		if t.urgent && c.makeQuota(t) {
			c.charge(t)
			c.unscheduled(t.record, CauseAwaitingEviction, &tally{})
			return
		}
		c.unscheduled(t.record, CauseQuota, &tally{})
		return
	}
	var excluded tally
	best := c.choice(t, &excluded)
	if best.node != nil {
		c.assign(t, best, &excluded)
		return
	}
	if t.urgent && c.makeRoom(t) {
		c.charge(t)
		c.unscheduled(t.record, CauseAwaitingEviction, &excluded)
		return
	}
	c.unscheduled(t.record, CauseNoWorker, &excluded)
}

// selection is the best worker for a task and the second best.
type selection struct {
	node, second       *node
	total, secondTotal float64
	considered         int
}

func (c *cycle) choice(t *candidate, excluded *tally) selection {
	var best selection
	if known, ok := c.noPlace(t); ok {
		*excluded = known
		return best
	}
	for _, n := range c.feasible(t, excluded) {
		best.considered++
		total := c.totalScore(t, n) + c.random.Float64()*tieBreak
		switch {
		case best.node == nil || total > best.total:
			best.second, best.secondTotal = best.node, best.total
			best.node, best.total = n, total
		case best.second == nil || total > best.secondTotal:
			best.second, best.secondTotal = n, total
		}
	}
	if best.node == nil {
		c.rememberNoPlace(t, excluded)
	}
	return best
}

func (c *cycle) assign(t *candidate, best selection, excluded *tally) {
	assignment := Assignment{
		TaskID: t.record.ID, Attempt: t.record.Attempt, Worker: best.node.Name, Session: best.node.Session,
		Total: best.total, Scores: c.scored(t, best.node), Considered: best.considered,
		Filtered: excluded.counts(),
	}
	if best.second != nil {
		assignment.RunnerUp, assignment.RunnerUpTotal = best.second.Name, best.secondTotal
	}
	c.place(t, best.node)
	c.charge(t)
	c.plan.Assignments = append(c.plan.Assignments, assignment)
}

func (c *cycle) unscheduled(record *task.Record, cause Cause, excluded *tally) {
	c.plan.Unscheduled = append(c.plan.Unscheduled, Unscheduled{
		TaskID: record.ID, Cause: cause, Filtered: excluded.counts(),
	})
}
