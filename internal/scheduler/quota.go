package scheduler

import (
	"slices"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// CountsAgainstQuota reports whether tasks of the kind count against their team's quota.
func CountsAgainstQuota(kind task.Kind) bool { return kind != task.KindService }

// WithinQuota reports whether the use is within a quota, in which zero components are unlimited.
func WithinQuota(use, quota resource.Quantity) bool {
	return (quota.MilliCPU == 0 || use.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryBytes == 0 || use.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || use.Accelerators <= quota.Accelerators)
}

// withinQuota reports whether the team may hold the task in addition.
func (c *cycle) withinQuota(t *candidate) bool {
	spec := &t.record.Spec
	team, ok := c.snapshot.Document.Team(spec.Team)
	if !ok || !CountsAgainstQuota(spec.Kind) {
		return true
	}
	return WithinQuota(c.teamUse[spec.Team].Add(t.size), team.Quota)
}

// charge adds the task to its team's use.
func (c *cycle) charge(t *candidate) {
	spec := &t.record.Spec
	if CountsAgainstQuota(spec.Kind) {
		c.teamUse[spec.Team] = c.teamUse[spec.Team].Add(t.size)
	}
}

// endTeamUse notes that a task's part of its team's use ends soon.
func (c *cycle) endTeamUse(record *task.Record) {
	if CountsAgainstQuota(record.Spec.Kind) {
		c.teamEnding[record.Spec.Team] = c.teamEnding[record.Spec.Team].Add(record.Spec.Size)
	}
}

// overQuota handles a task that its team's quota has no room for. Urgent work takes the place of the
// team's own cheapest work, so that the quota holds and the urgent work need not wait for its end.
func (c *cycle) overQuota(t *candidate) {
	if t.urgent && c.makeQuota(t) {
		c.charge(t)
		c.unscheduled(t.record, CauseAwaitingEviction, &tally{})
		return
	}
	c.unscheduled(t.record, CauseQuota, &tally{})
}

// makeQuota makes room in the quota of the team by evictions on one worker, unless evictions in
// progress do. It returns whether the task now waits for that room.
func (c *cycle) makeQuota(t *candidate) bool {
	team, _ := c.snapshot.Document.Team(t.record.Spec.Team)
	use := c.teamUse[team.Name].Sub(c.teamEnding[team.Name]).Add(t.size)
	if WithinQuota(use, team.Quota) {
		return true
	}
	if c.urgentEvictions() >= maxUrgentEvictions {
		return false
	}
	var best *victims
	for _, n := range c.nodes {
		if firstReason(placeFilters, t, n) != 0 {
			continue
		}
		before := n.later()
		choice := c.fewest(n, c.ownBatch(n, team.Name), func(room later) bool {
			freed := room.free.Sub(before.free)
			return n.fits(t, room) && WithinQuota(use.Sub(freed), team.Quota)
		})
		if choice != nil && (best == nil || choice.loss < best.loss) {
			best = choice
		}
	}
	if best == nil {
		return false
	}
	c.evictFor(t, best)
	return true
}

// ownBatch returns the batch tasks of a team that urgent work may evict, cheapest first.
func (c *cycle) ownBatch(n *node, team string) []Holding {
	return slices.DeleteFunc(c.evictable(n, task.KindBatch), func(holding Holding) bool {
		return holding.Record.Spec.Team != team
	})
}
