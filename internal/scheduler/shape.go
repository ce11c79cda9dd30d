package scheduler

import (
	"strings"

	"clementineflow/internal/resource"
)

// shape is what the feasibility of a task without failures depends on.
type shape struct {
	size, expected resource.Quantity
	zones          string
}

// shapeOf returns the task's shape, and false if its feasibility depends on more.
func shapeOf(t *candidate) (shape, bool) {
	if len(t.record.Failures) > 0 {
		return shape{}, false
	}
	return shape{t.size, t.expected, strings.Join(t.record.Spec.Zones, "/")}, true
}

// noPlace returns the reasons why an equal task found no worker earlier in this plan. Room only
// shrinks during a plan, so the answer holds for the rest of it; a backlog of equal tasks then
// costs one pass over the workers.
func (c *cycle) noPlace(t *candidate) (tally, bool) {
	key, ok := shapeOf(t)
	if !ok {
		return tally{}, false
	}
	excluded, known := c.placeless[key]
	return excluded, known
}

// rememberNoPlace notes that a task found no worker.
func (c *cycle) rememberNoPlace(t *candidate, excluded *tally) {
	if key, ok := shapeOf(t); ok {
		c.placeless[key] = *excluded
	}
}
