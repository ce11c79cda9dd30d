package controller

import (
	"sync"

	"clementineflow/internal/interference"
	"clementineflow/internal/scheduler"
)

// learnedState holds estimates and worker health derived from reports. It is kept in memory only and
// rebuilt after a restart.
type learnedState struct {
	mu     sync.Mutex
	model  *interference.Model
	sizes  *scheduler.SizeEstimator
	health *scheduler.HealthTracker
	// progress holds the last report of each running attempt.
	progress map[string]progressReport
}

func newLearnedState() *learnedState {
	return &learnedState{
		model: interference.New(), sizes: scheduler.NewSizeEstimator(), health: scheduler.NewHealthTracker(),
		progress: map[string]progressReport{},
	}
}

// Interference returns a copy of the estimated interference between task classes.
func (c *Controller) Interference() interference.Snapshot {
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	return c.learned.model.Snapshot()
}
