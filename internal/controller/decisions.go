package controller

import (
	"slices"
	"sync"
	"time"

	"clementineflow/internal/scheduler"
)

const (
	// maxDecisionsPerTask and maxDecisionTasks limit the memory for decisions to some megabytes.
	maxDecisionsPerTask = 16
	maxDecisionTasks    = 4096
)

// Decision is a decision or event that concerns a task, with its inputs.
type Decision struct {
	At time.Time
	// Action is "assign", "evict", "wait", "cancel", "worker lost" or the name of a task event.
	Action string
	Worker string
	Reason string
	// Filtered counts the workers that each filter excluded.
	Filtered []scheduler.FilterCount
	Scores   []scheduler.ScorePart
}

// decisionLog keeps the recent decisions of at most maxDecisionTasks tasks.
type decisionLog struct {
	mu    sync.Mutex
	tasks map[string][]Decision
	order []string // task ids in the order of their first decision
}

func newDecisionLog() *decisionLog { return &decisionLog{tasks: map[string][]Decision{}} }

// add stores a decision. A decision that repeats the previous one replaces it, so that a task that
// is pending for a long time keeps its earlier decisions.
func (d *decisionLog) add(taskID string, decision Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent, ok := d.tasks[taskID]
	if !ok {
		d.order = append(d.order, taskID)
		d.removeOldest()
	}
	if last := len(recent) - 1; last >= 0 && recent[last].isRepeat(&decision) {
		recent = recent[:last]
	}
	recent = append(recent, decision)
	if len(recent) > maxDecisionsPerTask {
		recent = slices.Delete(recent, 0, len(recent)-maxDecisionsPerTask)
	}
	d.tasks[taskID] = recent
}

func (d *decisionLog) removeOldest() {
	if len(d.order) > maxDecisionTasks {
		delete(d.tasks, d.order[0])
		d.order = slices.Delete(d.order, 0, 1)
	}
}

// isRepeat reports whether two decisions have the same action, worker and reason.
func (d *Decision) isRepeat(other *Decision) bool {
	return d.Action == other.Action && d.Worker == other.Worker && d.Reason == other.Reason
}

// Explain returns the recent decisions about a task that this entry made, oldest first.
func (c *Controller) Explain(taskID string) []Decision {
	c.decisions.mu.Lock()
	defer c.decisions.mu.Unlock()
	return slices.Clone(c.decisions.tasks[taskID])
}
