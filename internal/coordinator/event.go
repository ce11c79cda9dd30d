package coordinator

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// event is something that the term's loop handles. Exactly one field is set.
type event struct {
	input  []store.Event
	agent  *agentEvent
	commit *commitResult
	ask    *question
}

// agentEvent is a message of an agent, or the end of its link.
type agentEvent struct {
	name    string
	message wire.Message
	// down is set at the end of the link; lastReply is when a ping was last acknowledged on it.
	down      bool
	lastReply time.Duration
}

// question asks for the state of a job, or for the length of a queue.
type question struct {
	job    string
	queue  string
	answer chan answer
}

// answer answers a question.
type answer struct {
	known   bool
	state   job.State
	waiting int
}
