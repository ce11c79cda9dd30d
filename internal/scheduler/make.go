package scheduler

import (
	"math/rand/v2"

	"clementineflow/internal/task"
)

// MakePlan computes the plan for a snapshot. It is deterministic: equal snapshots and random sources in the
// same state give equal plans.
func MakePlan(snapshot *Snapshot, random *rand.Rand) Plan {
	if snapshot.Document == nil {
		return planWithoutConfiguration(snapshot)
	}
	c := newCycle(snapshot, random)
	waiting := newQueue(c, c.readyCandidates())
	for t := waiting.next(); t != nil; t = waiting.next() {
		c.scheduleTask(t)
	}
	c.drainZones()
	return c.plan
}

func planWithoutConfiguration(snapshot *Snapshot) Plan {
	var plan Plan
	for _, record := range snapshot.Pending {
		plan.Unscheduled = append(plan.Unscheduled, Unscheduled{TaskID: record.ID, Cause: CauseNoConfiguration})
	}
	return plan
}

// readyCandidates returns the pending tasks whose NotBefore time has passed, and reports the others as
// delayed.
func (c *cycle) readyCandidates() []*candidate {
	candidates := make([]*candidate, 0, len(c.snapshot.Pending))
	for _, record := range c.snapshot.Pending {
		if c.snapshot.Now.Before(record.NotBefore) {
			c.addUnscheduled(record, CauseDelayed, &reasonCounts{})
			continue
		}
		candidates = append(candidates, c.newCandidate(record))
	}
	return candidates
}

func (c *cycle) scheduleTask(t *candidate) {
	if !c.withinQuota(t) {
		c.handleOverQuota(t)
		return
	}
	var excluded reasonCounts
	best := c.selectWorker(t, &excluded)
	if best.node != nil {
		c.addAssignment(t, best, &excluded)
		return
	}
	if t.mayEvict && c.reserveOrEvict(t) {
		c.addTeamUse(t)
		c.addUnscheduled(t.record, CauseAwaitingEviction, &excluded)
		return
	}
	c.addUnscheduled(t.record, CauseNoWorker, &excluded)
}

// selection is the best worker for a task and the runner-up; node is nil if no worker is feasible.
type selection struct {
	node, runnerUp       *node
	total, runnerUpTotal float64
	considered           int
}

func (c *cycle) selectWorker(t *candidate, excluded *reasonCounts) selection {
	var best selection
	if known, ok := c.cachedExclusions(t); ok {
		*excluded = known
		return best
	}
	for _, n := range c.feasibleNodes(t, excluded) {
		best.considered++
		total := c.totalScore(t, n) + c.random.Float64()*tieBreakRange
		switch {
		case best.node == nil || total > best.total:
			best.runnerUp, best.runnerUpTotal = best.node, best.total
			best.node, best.total = n, total
		case best.runnerUp == nil || total > best.runnerUpTotal:
			best.runnerUp, best.runnerUpTotal = n, total
		}
	}
	if best.node == nil {
		c.cacheExclusions(t, excluded)
	}
	return best
}

func (c *cycle) addAssignment(t *candidate, best selection, excluded *reasonCounts) {
	assignment := Assignment{
		TaskID: t.record.ID, Attempt: t.record.Attempt, Worker: best.node.Name, Session: best.node.Session,
		Total: best.total, Scores: c.scoreParts(t, best.node), Considered: best.considered,
		Filtered: excluded.counts(),
	}
	if best.runnerUp != nil {
		assignment.RunnerUp, assignment.RunnerUpTotal = best.runnerUp.Name, best.runnerUpTotal
	}
	c.addPlacement(t, best.node)
	c.addTeamUse(t)
	c.plan.Assignments = append(c.plan.Assignments, assignment)
}

func (c *cycle) addUnscheduled(record *task.Record, cause Cause, excluded *reasonCounts) {
	c.plan.Unscheduled = append(c.plan.Unscheduled, Unscheduled{
		TaskID: record.ID, Cause: cause, Filtered: excluded.counts(),
	})
}
