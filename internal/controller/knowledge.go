package controller

import (
	"sync"

	"clementineflow/internal/interference"
	"clementineflow/internal/scheduler"
)

// knowledge is what this entry has learned; it is lost with the process and learned again.
type knowledge struct {
	mu     sync.Mutex
	model  *interference.Model
	sizes  *scheduler.Sizes
	health *scheduler.Health
	// progress holds the last report of each running attempt.
	progress map[string]progressReport
}

func newKnowledge() *knowledge {
	return &knowledge{
		model: interference.New(), sizes: scheduler.NewSizes(), health: scheduler.NewHealth(),
		progress: map[string]progressReport{},
	}
}

// Interference returns a copy of the learned interference.
func (c *Controller) Interference() interference.Snapshot {
	c.knowledge.mu.Lock()
	defer c.knowledge.mu.Unlock()
	return c.knowledge.model.Snapshot()
}
