package coordinator

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// event is an input of the event loop. One of input, agent, commit, query, pressures and backlog is set; input may be
// empty.
type event struct {
	input []store.Event
	// listed is set if a complete list of the input has been read. It is not for a single record of a notification.
	listed bool
	agent  *agentEvent
	commit *commitResult
	query  *query
	// pressures is the outcome of a read or a write of the learned pressures.
	pressures *pressuresEvent
	// backlog is the outcome of a write of the state of the backlog.
	backlog *backlogWritten
}

// agentEvent is a message from an agent, or the end of its link.
type agentEvent struct {
	name    string
	message wire.Message
	// down is set when the link has ended. lastReply is the time of the last ping reply on that link.
	down      bool
	lastReply time.Duration
}

// query asks for the state of a job or, if job is empty, for the number of waiting jobs in a queue.
type query struct {
	job   string
	queue string
	reply chan queryReply
}

// queryReply is the reply to a query. known is false if the coordinator has no answer.
type queryReply struct {
	known   bool
	state   job.State
	waiting int
}
