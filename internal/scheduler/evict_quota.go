package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// makeQuota makes room within the quota of an urgent task's team: quota that is already becoming
// free, or else the evictions of the team's own batch tasks that lose least. It returns whether the
// task now waits for the quota. Other teams lose nothing.
func (c *cycle) makeQuota(t *candidate) bool {
	team, ok := c.snapshot.Document.Team(t.record.Spec.Team)
	if !ok {
		return false
	}
	need := c.teamUse[team.Name].Add(t.size).Sub(c.releasing(team.Name))
	own := c.ownBatch(team.Name)
	chosen := 0
	for chosen < len(own) && !WithinQuota(need, team.Quota) {
		need = need.Sub(own[chosen].holding.Record.Spec.Size)
		chosen++
	}
	if !WithinQuota(need, team.Quota) || c.urgentEvictions()+chosen > maxUrgentEvictions {
		return false
	}
	for _, victim := range own[:chosen] {
		c.evict(victim.node, victim.holding, Eviction{Cause: CauseUrgent, For: t.record.ID})
	}
	return true
}

// releasing returns what the team's tasks hold that are being evicted or stopped.
func (c *cycle) releasing(team string) resource.Quantity {
	var sum resource.Quantity
	for _, n := range c.nodes {
		for _, holding := range n.Holdings {
			record := holding.Record
			if record.Spec.Team == team && CountsAgainstQuota(record.Spec.Kind) && c.ending(record) {
				sum = sum.Add(record.Spec.Size)
			}
		}
	}
	return sum
}

// ending reports whether the task is being evicted or stopped, by this plan or an earlier one.
func (c *cycle) ending(record *task.Record) bool {
	return record.State == task.StateEvicting || record.State == task.StateCancelling ||
		slices.ContainsFunc(c.plan.Evictions, func(e Eviction) bool { return e.TaskID == record.ID })
}

// ownBatch returns the team's batch tasks that may be evicted, cheapest first.
func (c *cycle) ownBatch(team string) []leaver {
	var own []leaver
	for _, n := range c.nodes {
		for _, holding := range n.Holdings {
			if holding.Record.Spec.Team == team && c.mayBeEvicted(holding.Record, task.KindBatch) {
				own = append(own, leaver{n, holding})
			}
		}
	}
	slices.SortStableFunc(own, func(a, b leaver) int {
		return cmp.Or(cmp.Compare(c.loss(a.holding), c.loss(b.holding)), cmp.Compare(a.holding.Record.ID, b.holding.Record.ID))
	})
	return own
}
