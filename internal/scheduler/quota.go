package scheduler

import (
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
