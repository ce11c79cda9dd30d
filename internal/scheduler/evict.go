package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/task"
)

const (
	// maxEvictionsPerTask protects a task from eviction for urgent work for ever.
	maxEvictionsPerTask = 5
	// maxUrgentEvictions bounds the evictions of one plan.
	maxUrgentEvictions = 64
	// victimBaseLoss is the loss, in thousandths, that an eviction has even without lost progress.
	victimBaseLoss = 50
)

// victims is a choice of tasks whose eviction makes room on one worker.
type victims struct {
	node     *node
	holdings []Holding
	loss     int
}

// makeRoom finds room for an urgent task: room that is already becoming free, or else the cheapest
// evictions. It returns whether the task now waits for room.
func (c *cycle) makeRoom(t *candidate) bool {
	if c.awaitRoom(t) {
		return true
	}
	if c.urgentEvictions() >= maxUrgentEvictions {
		return false
	}
	best := c.cheapest(t, task.KindBatch)
	if best == nil {
		best = c.cheapest(t, task.KindWatch)
	}
	if best == nil {
		return false
	}
	c.evictFor(t, best)
	return true
}

// evictFor evicts the victims and keeps their room for the urgent task.
func (c *cycle) evictFor(t *candidate, chosen *victims) {
	for _, victim := range chosen.holdings {
		c.evict(chosen.node, victim, Eviction{Cause: CauseUrgent, For: t.record.ID})
	}
	chosen.node.promise(t)
}

func (c *cycle) urgentEvictions() int {
	count := 0
	for _, eviction := range c.plan.Evictions {
		if eviction.Cause == CauseUrgent {
			count++
		}
	}
	return count
}

// awaitRoom keeps room for the task that evictions in progress will free.
func (c *cycle) awaitRoom(t *candidate) bool {
	for _, n := range c.nodes {
		if n.ending.IsZero() || firstReason(placeFilters, t, n) != 0 {
			continue
		}
		if n.fits(t, n.later()) {
			n.promise(t)
			return true
		}
	}
	return false
}

// cheapest returns the evictions with the least loss; watches are included only for KindWatch.
func (c *cycle) cheapest(t *candidate, upTo task.Kind) *victims {
	var best *victims
	for _, n := range c.nodes {
		if firstReason(placeFilters, t, n) != 0 {
			continue
		}
		choice := c.choose(t, n, upTo)
		if choice != nil && (best == nil || choice.loss < best.loss) {
			best = choice
		}
	}
	return best
}

// choose takes the cheapest tasks of a worker until the urgent task fits there.
func (c *cycle) choose(t *candidate, n *node, upTo task.Kind) *victims {
	return c.fewest(n, c.evictable(n, upTo), func(room later) bool { return n.fits(t, room) })
}

// fewest takes holdings in their order until the room that they leave is enough, then leaves out
// those that are not needed. It returns nil if all are not enough or none is needed.
func (c *cycle) fewest(n *node, holdings []Holding, enough func(room later) bool) *victims {
	room := n.later()
	var chosen []Holding
	for _, holding := range holdings {
		if enough(room) {
			break
		}
		chosen = append(chosen, holding)
		room = room.without(holding.Record.Spec.Size, c.expectedUse(n, &holding.Record.Spec))
	}
	if !enough(room) || len(chosen) == 0 {
		return nil
	}
	chosen = c.needed(n, chosen, room, enough)
	loss := 0
	for _, holding := range chosen {
		loss += c.loss(holding) + victimBaseLoss
	}
	return &victims{node: n, holdings: chosen, loss: loss}
}

// needed drops the most expensive holdings without which the room is still enough.
func (c *cycle) needed(n *node, chosen []Holding, room later, enough func(room later) bool) []Holding {
	for index := len(chosen) - 1; index >= 0; index-- {
		spec := &chosen[index].Record.Spec
		kept := later{room.free.Sub(spec.Size), room.use.Add(c.expectedUse(n, spec))}
		if enough(kept) {
			room = kept
			chosen = slices.Delete(chosen, index, index+1)
		}
	}
	return chosen
}

// evictable returns the tasks that urgent work may evict, cheapest first: batch tasks of lower
// priority, then watches if allowed, never services.
func (c *cycle) evictable(n *node, upTo task.Kind) []Holding {
	var found []Holding
	for _, holding := range n.Holdings {
		if c.mayBeEvicted(holding.Record, upTo) {
			found = append(found, holding)
		}
	}
	slices.SortStableFunc(found, func(a, b Holding) int {
		return cmp.Or(
			cmp.Compare(a.Record.Spec.Kind, b.Record.Spec.Kind),
			cmp.Compare(c.loss(a), c.loss(b)),
			cmp.Compare(a.Record.ID, b.Record.ID),
		)
	})
	return found
}

func (c *cycle) mayBeEvicted(record *task.Record, upTo task.Kind) bool {
	spec := &record.Spec
	return (spec.Kind == task.KindBatch || spec.Kind == upTo) &&
		spec.Priority < task.PriorityUrgent && record.Evictions < maxEvictionsPerTask &&
		c.movable(record)
}

// movable reports whether the task can be evicted now. A non-idempotent task whose start is not
// confirmed is left alone, since a stop without a checkpoint would make its outcome unknown.
func (c *cycle) movable(record *task.Record) bool {
	for _, eviction := range c.plan.Evictions {
		if eviction.TaskID == record.ID {
			return false
		}
	}
	switch record.State {
	case task.StateRunning:
		return true
	case task.StateAssigned:
		return !record.Spec.NonIdempotent
	default:
		return false
	}
}

// loss returns the progress since the last checkpoint in thousandths. Without a report, it is
// estimated from the time since the start.
func (c *cycle) loss(holding Holding) int {
	record := holding.Record
	if holding.ProgressPermille > 0 {
		return min(max(holding.ProgressPermille-record.CheckpointPermille, 0), 1000)
	}
	if record.StartedAt.IsZero() {
		return 0
	}
	running := c.snapshot.Now.Sub(record.StartedAt)
	if expected := record.Spec.ExpectedRunTime; expected > 0 {
		return int(min(1000, 1000*running/expected))
	}
	return int(min(1000, running.Seconds()))
}

// evict adds an eviction to the plan; the room stays occupied until the task has stopped.
func (c *cycle) evict(n *node, holding Holding, eviction Eviction) {
	eviction.TaskID, eviction.Attempt = holding.Record.ID, holding.Record.Attempt
	eviction.Worker, eviction.LossPermille = n.Name, c.loss(holding)
	n.ending = n.ending.Add(holding.Record.Spec.Size)
	n.endingUse = n.endingUse.Add(c.expectedUse(n, &holding.Record.Spec))
	c.endTeamUse(holding.Record)
	c.plan.Evictions = append(c.plan.Evictions, eviction)
}
