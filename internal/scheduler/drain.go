package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/task"
)

// maxDrainInProgress bounds the evictions of leaving zones that are in progress at a time; with
// checkpoints of a few seconds it empties a zone of 50 workers within a minute.
const maxDrainInProgress = 64

// leaver is a task on a worker in a zone that is out of service.
type leaver struct {
	node    *node
	holding Holding
}

// drain evicts tasks from zones out of service, watches first, then services, then batch tasks by
// least loss. A task is evicted only while another zone has room for it.
func (c *cycle) drain() {
	leavers := c.leavers()
	inProgress := c.reserveForEvicting(leavers)
	moving := c.movingReplicas(leavers)
	for _, l := range leavers {
		if !c.movable(l.holding.Record) {
			continue
		}
		if inProgress >= maxDrainInProgress || moving[replicaOf(l)] {
			c.unscheduled(l.holding.Record, CausePaced, &tally{})
			continue
		}
		if c.move(l) {
			inProgress++
			c.markMoving(moving, l)
		}
	}
}

// replicaOf returns the service of a replica, or "".
func replicaOf(l leaver) string { return l.holding.Record.Spec.Service }

func (c *cycle) markMoving(moving map[string]bool, l leaver) {
	if service := replicaOf(l); service != "" {
		moving[service] = true
	}
}

// movingReplicas returns the services of which a replica is already moving or pending: replicas
// of a service move one at a time, so that the others keep answering.
func (c *cycle) movingReplicas(leavers []leaver) map[string]bool {
	moving := map[string]bool{}
	for _, l := range leavers {
		if l.holding.Record.State == task.StateEvicting {
			c.markMoving(moving, l)
		}
	}
	for _, record := range c.snapshot.Pending {
		if record.Spec.Service != "" {
			moving[record.Spec.Service] = true
		}
	}
	return moving
}

func (c *cycle) leavers() []leaver {
	var found []leaver
	for _, n := range c.nodes {
		if n.inService {
			continue
		}
		for _, holding := range n.Holdings {
			found = append(found, leaver{n, holding})
		}
	}
	slices.SortStableFunc(found, func(a, b leaver) int {
		return cmp.Or(
			cmp.Compare(drainOrder(a.holding.Record.Spec.Kind), drainOrder(b.holding.Record.Spec.Kind)),
			cmp.Compare(c.loss(a.holding), c.loss(b.holding)),
			cmp.Compare(a.holding.Record.ID, b.holding.Record.ID),
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

// reserveForEvicting keeps room for tasks whose eviction is in progress and returns their number.
func (c *cycle) reserveForEvicting(leavers []leaver) int {
	count := 0
	for _, l := range leavers {
		if l.holding.Record.State != task.StateEvicting {
			continue
		}
		count++
		t := c.candidate(l.holding.Record)
		if best := c.choice(t, &tally{}); best.node != nil {
			c.place(t, best.node)
		}
	}
	return count
}

// move evicts a task if there is room for it elsewhere, and reports whether it did.
func (c *cycle) move(l leaver) bool {
	t := c.candidate(l.holding.Record)
	var excluded tally
	best := c.choice(t, &excluded)
	if best.node == nil {
		c.unscheduled(l.holding.Record, CauseCannotMove, &excluded)
		return false
	}
	c.place(t, best.node)
	c.evict(l.node, l.holding, Eviction{Cause: CauseZoneLeaving, Destination: best.node.Name})
	return true
}
