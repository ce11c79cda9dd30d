package planner

import (
	"clementineflow/internal/wire"
)

// Order is a message to be sent to the named agent.
type Order struct {
	Agent   string
	Message wire.Message
}

// effect is sent after a commit: the start order of a task if start is set, otherwise order.
type effect struct {
	order Order
	// start is the task to start, provided that run is still its assigned run.
	start ref
	run   uint32
}

// Event is a log message with alternating keys and values as fields.
type Event struct {
	Message string
	Fields  []any
}
