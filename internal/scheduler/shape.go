package scheduler

import (
	"strings"

	"clementineflow/internal/resource"
)

// placementKey holds the properties that decide which workers are feasible for a task without failures.
type placementKey struct {
	size, expected resource.Quantity
	zones          string
}

// placementKeyOf returns the task's key, and false if the task has failures, on which its feasible
// workers also depend.
func placementKeyOf(t *candidate) (placementKey, bool) {
	if len(t.record.Failures) > 0 {
		return placementKey{}, false
	}
	return placementKey{t.size, t.expected, strings.Join(t.record.Spec.Zones, "/")}, true
}

// cachedExclusions returns the exclusion counts if no worker was found earlier in this plan for a task
// with the same key. Room only shrinks during a plan, so the result stays valid for the rest of it, and
// a backlog of equal tasks costs only one pass over the workers.
func (c *cycle) cachedExclusions(t *candidate) (reasonCounts, bool) {
	key, ok := placementKeyOf(t)
	if !ok {
		return reasonCounts{}, false
	}
	excluded, known := c.infeasible[key]
	return excluded, known
}

// cacheExclusions stores the exclusion counts of a task for which no worker was found.
func (c *cycle) cacheExclusions(t *candidate, excluded *reasonCounts) {
	if key, ok := placementKeyOf(t); ok {
		c.infeasible[key] = *excluded
	}
}
