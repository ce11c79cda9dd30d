package controller

import (
	"slices"
	"sync"
	"time"

	"clementineflow/internal/scheduler"
)

const (
	// maxDecisionsPerTask and maxDecisionTasks bound the memory for explanations to some megabytes.
	maxDecisionsPerTask = 16
	maxDecisionTasks    = 4096
)

// Decision is one recent decision about a task.
type Decision struct {
	At time.Time
	// Action is "assign", "evict", "wait", or the name of an event.
	Action string
	Worker string
	Reason string
	// Filtered counts the workers that each filter excluded.
	Filtered []scheduler.FilterCount
	Scores   []scheduler.Scored
}

// decisions keeps the recent decisions of the tasks that were decided about last.
type decisions struct {
	mu    sync.Mutex
	tasks map[string][]Decision
	order []string // task ids, the longest known first
}

func newDecisions() *decisions { return &decisions{tasks: map[string][]Decision{}} }

// add remembers a decision. A repeated one replaces the previous, so that a task that waits for
// long keeps its earlier decisions.
func (d *decisions) add(taskID string, decision Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.tasks[taskID]
	if !ok {
		d.order = append(d.order, taskID)
		d.dropOldest()
	}
	if last := len(known) - 1; last >= 0 && known[last].same(&decision) {
		known = known[:last]
	}
	known = append(known, decision)
	if len(known) > maxDecisionsPerTask {
		known = slices.Delete(known, 0, len(known)-maxDecisionsPerTask)
	}
	d.tasks[taskID] = known
}

func (d *decisions) dropOldest() {
	if len(d.order) > maxDecisionTasks {
		delete(d.tasks, d.order[0])
		d.order = slices.Delete(d.order, 0, 1)
	}
}

func (d *Decision) same(other *Decision) bool {
	return d.Action == other.Action && d.Worker == other.Worker && d.Reason == other.Reason
}

// Explain returns the recent decisions about a task that this entry made, oldest first.
func (c *Controller) Explain(taskID string) []Decision {
	c.decisions.mu.Lock()
	defer c.decisions.mu.Unlock()
	return slices.Clone(c.decisions.tasks[taskID])
}
