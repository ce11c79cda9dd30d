package scheduler

import (
	"cmp"
	"slices"

	"clementineflow/internal/task"
)

const (
	// maxEvictionsPerTask is the number of evictions after which a task is no longer evicted for urgent
	// work, so that it can complete.
	maxEvictionsPerTask = 5
	// maxUrgentEvictions bounds the evictions for urgent work in one plan; the last selection may
	// exceed it.
	maxUrgentEvictions = 64
	// evictionBaseLossPermille is the cost of an eviction that loses no progress.
	evictionBaseLossPermille = 50
)

// victims is a set of tasks on one worker whose eviction makes room for an urgent task.
type victims struct {
	node          *node
	assignedTasks []AssignedTask
	lossPermille  int
}

// reserveOrEvict reserves room for an urgent task: room that terminating tasks will free, or else that
// of the victims with the least loss. It reports whether the task now waits for reserved room.
func (c *cycle) reserveOrEvict(t *candidate) bool {
	if c.reserveTerminating(t) {
		return true
	}
	if c.countUrgentEvictions() >= maxUrgentEvictions {
		return false
	}
	best := c.cheapestVictims(t, task.KindBatch)
	if best == nil {
		best = c.cheapestVictims(t, task.KindWatch)
	}
	if best == nil {
		return false
	}
	c.evictFor(t, best)
	return true
}

// evictFor evicts the victims and reserves their room for the urgent task.
func (c *cycle) evictFor(t *candidate, chosen *victims) {
	for _, victim := range chosen.assignedTasks {
		c.addEviction(chosen.node, victim, Eviction{Cause: CauseUrgent, For: t.record.ID})
	}
	chosen.node.reserve(t)
}

func (c *cycle) countUrgentEvictions() int {
	count := 0
	for _, eviction := range c.plan.Evictions {
		if eviction.Cause == CauseUrgent {
			count++
		}
	}
	return count
}

// reserveTerminating reserves room that terminating tasks will free for the task, and reports whether
// it found enough on one worker.
func (c *cycle) reserveTerminating(t *candidate) bool {
	for _, n := range c.nodes {
		if n.terminating.IsZero() || firstReason(placementFilters, t, n) != 0 {
			continue
		}
		if n.fits(t, n.futureRoom()) {
			n.reserve(t)
			return true
		}
	}
	return false
}

// cheapestVictims returns the victims with the least loss over all workers, or nil. They are batch
// tasks and tasks of alsoKind.
func (c *cycle) cheapestVictims(t *candidate, alsoKind task.Kind) *victims {
	var best *victims
	for _, n := range c.nodes {
		if firstReason(placementFilters, t, n) != 0 {
			continue
		}
		choice := c.victimsOn(t, n, alsoKind)
		if choice != nil && (best == nil || choice.lossPermille < best.lossPermille) {
			best = choice
		}
	}
	return best
}

// victimsOn returns the victims on one worker after whose eviction the task fits there, or nil.
func (c *cycle) victimsOn(t *candidate, n *node, alsoKind task.Kind) *victims {
	return c.minimalVictims(n, c.evictableTasks(n, alsoKind), func(room futureRoom) bool { return n.fits(t, room) })
}

// minimalVictims selects tasks in the given order until the room is enough, then drops those that
// are not needed. It returns nil if all tasks together are not enough or if none is needed.
func (c *cycle) minimalVictims(n *node, assignedTasks []AssignedTask, enough func(room futureRoom) bool) *victims {
	room := n.futureRoom()
	var chosen []AssignedTask
	for _, assigned := range assignedTasks {
		if enough(room) {
			break
		}
		chosen = append(chosen, assigned)
		room = room.afterRelease(assigned.Record.Spec.Size, c.expectedUse(n, &assigned.Record.Spec))
	}
	if !enough(room) || len(chosen) == 0 {
		return nil
	}
	chosen = c.dropUnneeded(n, chosen, room, enough)
	lossPermille := 0
	for _, assigned := range chosen {
		lossPermille += c.lossPermille(assigned) + evictionBaseLossPermille
	}
	return &victims{node: n, assignedTasks: chosen, lossPermille: lossPermille}
}

// dropUnneeded removes tasks, last first, as long as the room stays enough without their eviction.
func (c *cycle) dropUnneeded(n *node, chosen []AssignedTask, room futureRoom, enough func(room futureRoom) bool) []AssignedTask {
	for index := len(chosen) - 1; index >= 0; index-- {
		spec := &chosen[index].Record.Spec
		kept := futureRoom{room.free.Sub(spec.Size), room.use.Add(c.expectedUse(n, spec))}
		if enough(kept) {
			room = kept
			chosen = slices.Delete(chosen, index, index+1)
		}
	}
	return chosen
}

// evictableTasks returns the tasks that urgent work may evict, ordered by kind and then by loss:
// batch tasks of lower priority, then tasks of alsoKind.
func (c *cycle) evictableTasks(n *node, alsoKind task.Kind) []AssignedTask {
	var found []AssignedTask
	for _, assigned := range n.AssignedTasks {
		if c.isEvictable(assigned.Record, alsoKind) {
			found = append(found, assigned)
		}
	}
	slices.SortStableFunc(found, func(a, b AssignedTask) int {
		return cmp.Or(
			cmp.Compare(a.Record.Spec.Kind, b.Record.Spec.Kind),
			cmp.Compare(c.lossPermille(a), c.lossPermille(b)),
			cmp.Compare(a.Record.ID, b.Record.ID),
		)
	})
	return found
}

func (c *cycle) isEvictable(record *task.Record, alsoKind task.Kind) bool {
	spec := &record.Spec
	return (spec.Kind == task.KindBatch || spec.Kind == alsoKind) &&
		spec.Priority < task.PriorityUrgent && record.Evictions < maxEvictionsPerTask &&
		c.canEvictNow(record)
}

// canEvictNow reports whether the task can be evicted now. A non-idempotent task whose start is not
// confirmed is not evicted, because a stop without a checkpoint would make its outcome unknown.
func (c *cycle) canEvictNow(record *task.Record) bool {
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

// lossPermille returns the progress since the last checkpoint in thousandths. Without a progress
// report, it is estimated from the time since the start.
func (c *cycle) lossPermille(assigned AssignedTask) int {
	record := assigned.Record
	if assigned.ProgressPermille > 0 {
		return min(max(assigned.ProgressPermille-record.CheckpointPermille, 0), 1000)
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

// addEviction adds an eviction to the plan. The task occupies its room until it has stopped.
func (c *cycle) addEviction(n *node, assigned AssignedTask, eviction Eviction) {
	eviction.TaskID, eviction.Attempt = assigned.Record.ID, assigned.Record.Attempt
	eviction.Worker, eviction.LossPermille = n.Name, c.lossPermille(assigned)
	n.terminating = n.terminating.Add(assigned.Record.Spec.Size)
	n.terminatingUse = n.terminatingUse.Add(c.expectedUse(n, &assigned.Record.Spec))
	c.addTeamTerminating(assigned.Record)
	c.plan.Evictions = append(c.plan.Evictions, eviction)
}
