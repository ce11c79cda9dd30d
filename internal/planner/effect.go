package planner

import (
	"clementineflow/internal/wire"
)

// Order is a message to the agent with the name.
type Order struct {
	Agent   string
	Message wire.Message
}

// effect is something that follows a commit: a start if run is set, else an order.
type effect struct {
	order Order
	// start is the task to start, if the run is still the assigned one.
	start ref
	run   uint32
}

// Event is a decision for the log.
type Event struct {
	Message string
	Fields  []any
}
