package scheduler

import (
	"slices"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// CountsAgainstQuota reports whether tasks of the kind count against their team's quota. Service
// replicas do not.
func CountsAgainstQuota(kind task.Kind) bool { return kind != task.KindService }

// WithinQuota reports whether the use is within the quota. A zero component of the quota means no limit.
func WithinQuota(use, quota resource.Quantity) bool {
	return (quota.MilliCPU == 0 || use.MilliCPU <= quota.MilliCPU) &&
		(quota.MemoryBytes == 0 || use.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || use.Accelerators <= quota.Accelerators)
}

// withinQuota reports whether the task fits into its team's quota in addition to the team's use.
func (c *cycle) withinQuota(t *candidate) bool {
	spec := &t.record.Spec
	team, ok := c.snapshot.Document.Team(spec.Team)
	if !ok || !CountsAgainstQuota(spec.Kind) {
		return true
	}
	return WithinQuota(c.teamUse[spec.Team].Add(t.size), team.Quota)
}

// addTeamUse adds the size of the task to its team's use.
func (c *cycle) addTeamUse(t *candidate) {
	spec := &t.record.Spec
	if CountsAgainstQuota(spec.Kind) {
		c.teamUse[spec.Team] = c.teamUse[spec.Team].Add(t.size)
	}
}

// addTeamTerminating adds the size of a terminating task to the part of its team's use that will end.
func (c *cycle) addTeamTerminating(record *task.Record) {
	if CountsAgainstQuota(record.Spec.Kind) {
		c.teamTerminating[record.Spec.Team] = c.teamTerminating[record.Spec.Team].Add(record.Spec.Size)
	}
}

// handleOverQuota handles a task that exceeds its team's quota. For urgent work it evicts batch work of
// the same team with the least loss, so that the quota holds and the urgent work does not have to wait
// until that work completes.
func (c *cycle) handleOverQuota(t *candidate) {
	if t.mayEvict && c.freeQuota(t) {
		c.addTeamUse(t)
		c.addUnscheduled(t.record, CauseAwaitingEviction, &reasonCounts{})
		return
	}
	c.addUnscheduled(t.record, CauseQuota, &reasonCounts{})
}

// freeQuota evicts batch tasks of the team on one worker to make room in the team's quota, unless tasks
// already terminating free enough. It reports whether the task now waits for that room.
func (c *cycle) freeQuota(t *candidate) bool {
	team, _ := c.snapshot.Document.Team(t.record.Spec.Team)
	use := c.teamUse[team.Name].Sub(c.teamTerminating[team.Name]).Add(t.size)
	if WithinQuota(use, team.Quota) {
		return true
	}
	if c.countUrgentEvictions() >= maxUrgentEvictions {
		return false
	}
	var best *victims
	for _, n := range c.nodes {
		if firstReason(placementFilters, t, n) != 0 {
			continue
		}
		before := n.futureRoom()
		choice := c.minimalVictims(n, c.teamEvictableBatch(n, team.Name), func(room futureRoom) bool {
			freed := room.free.Sub(before.free)
			return n.fits(t, room) && WithinQuota(use.Sub(freed), team.Quota)
		})
		if choice != nil && (best == nil || choice.lossPermille < best.lossPermille) {
			best = choice
		}
	}
	if best == nil {
		return false
	}
	c.evictFor(t, best)
	return true
}

// teamEvictableBatch returns the team's batch tasks on the worker that urgent work may evict, in the
// order of increasing loss.
func (c *cycle) teamEvictableBatch(n *node, team string) []AssignedTask {
	return slices.DeleteFunc(c.evictableTasks(n, task.KindBatch), func(assigned AssignedTask) bool {
		return assigned.Record.Spec.Team != team
	})
}
