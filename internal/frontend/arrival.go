package frontend

import (
	"time"

	"clementineflow/internal/task"
)

// Arrival describes a valid request of a caller, as it is recorded.
type Arrival struct {
	// ID is the id that agents and targets receive, see requestKey.wireID.
	ID, Service, Team, Caller string
	Priority                  task.Priority
	Timeout                   time.Duration
	Idempotent                bool
}

func arrivalOf(s *submission, key requestKey, timeout time.Duration) Arrival {
	return Arrival{
		ID: key.wireID(), Service: s.request.Service, Team: key.team, Caller: s.caller,
		Priority: s.control.priority, Timeout: timeout, Idempotent: s.control.idempotent,
	}
}
