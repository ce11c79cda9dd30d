package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/task"
)

// maxDrainInProgress bounds the concurrent evictions from zones that are out of service. With
// checkpoints of a few seconds, a zone of 50 workers is empty within a minute.
const maxDrainInProgress = 64

// drainTask is a task on a worker in a zone that is out of service.
type drainTask struct {
	node     *node
	assigned AssignedTask
}

// drainZones evicts tasks from zones that are out of service: first watches, then services, then batch
// tasks, each in the order of increasing loss. A task is evicted only if a worker in another zone has
// room for it.
func (c *cycle) drainZones() {
	tasks := c.tasksToDrain()
	inProgress := c.reserveForEvicting(tasks)
	moving := c.movingServices(tasks)
	for _, d := range tasks {
		if !c.canEvictNow(d.assigned.Record) {
			continue
		}
		if inProgress >= maxDrainInProgress || moving[serviceOf(d)] {
			c.addUnscheduled(d.assigned.Record, CauseDrainLimited, &reasonCounts{})
			continue
		}
		if c.evictToDrain(d) {
			inProgress++
			c.markMoving(moving, d)
		}
	}
}

// serviceOf returns the service of which the task is a replica, or "".
func serviceOf(d drainTask) string { return d.assigned.Record.Spec.Service }

func (c *cycle) markMoving(moving map[string]bool, d drainTask) {
	if service := serviceOf(d); service != "" {
		moving[service] = true
	}
}

// movingServices returns the services that have a replica being evicted or pending. The replicas of a
// service move one at a time, so that the others keep serving requests.
func (c *cycle) movingServices(tasks []drainTask) map[string]bool {
	moving := map[string]bool{}
	for _, d := range tasks {
		if d.assigned.Record.State == task.StateEvicting {
			c.markMoving(moving, d)
		}
	}
	for _, record := range c.snapshot.Pending {
		if record.Spec.Service != "" {
			moving[record.Spec.Service] = true
		}
	}
	return moving
}

func (c *cycle) tasksToDrain() []drainTask {
	var found []drainTask
	for _, n := range c.nodes {
		if n.inService {
			continue
		}
		for _, assigned := range n.AssignedTasks {
			found = append(found, drainTask{n, assigned})
		}
	}
	slices.SortStableFunc(found, func(a, b drainTask) int {
		return cmp.Or(
			cmp.Compare(drainOrder(a.assigned.Record.Spec.Kind), drainOrder(b.assigned.Record.Spec.Kind)),
			cmp.Compare(c.lossPermille(a.assigned), c.lossPermille(b.assigned)),
			cmp.Compare(a.assigned.Record.ID, b.assigned.Record.ID),
		)
	})
	return found
}

func drainOrder(kind task.Kind) int {
	switch kind {
	case task.KindWatch:
		return 0
	case task.KindService:
		return 1
	default:
		return 2
	}
}

// reserveForEvicting reserves room elsewhere for tasks whose eviction is in progress and returns the
// number of these tasks.
func (c *cycle) reserveForEvicting(tasks []drainTask) int {
	count := 0
	for _, d := range tasks {
		if d.assigned.Record.State != task.StateEvicting {
			continue
		}
		count++
		t := c.newCandidate(d.assigned.Record)
		if best := c.selectWorker(t, &reasonCounts{}); best.node != nil {
			c.addPlacement(t, best.node)
		}
	}
	return count
}

// evictToDrain evicts the task if another worker has room for it, and reports whether it did.
func (c *cycle) evictToDrain(d drainTask) bool {
	t := c.newCandidate(d.assigned.Record)
	var excluded reasonCounts
	best := c.selectWorker(t, &excluded)
	if best.node == nil {
		c.addUnscheduled(d.assigned.Record, CauseCannotMove, &excluded)
		return false
	}
	c.addPlacement(t, best.node)
	c.addEviction(d.node, d.assigned, Eviction{Cause: CauseZoneLeaving, Destination: best.node.Name})
	return true
}
