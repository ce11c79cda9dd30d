package replay

import (
	"time"

	"clementineflow/internal/task"
)

// taskFact is something that happened to a task.
type taskFact struct {
	at           time.Time
	taskID, team string
	worker, zone string
}

// stateFact is a state that a task took.
type stateFact struct {
	at           time.Time
	state        task.State
	worker, zone string
}

// overload is a worker that held more than its capacity.
type overload struct {
	at      time.Time
	worker  string
	realUse bool
}

// acceptedTask is a task that was accepted, and when it first started.
type acceptedTask struct {
	at      time.Time
	startAt time.Time
	urgent  bool
	batch   bool
}

// requestFact is what became of a request.
type requestFact struct {
	arrivedAt, endedAt time.Time
	service            string
	priority           task.Priority
	outcome, reason    string
}

// history holds the facts that outcomes are checked against.
type history struct {
	assigned, started, evicted, finished []taskFact
	states                               map[string][]stateFact
	overloads                            []overload
	quarantined                          []taskFact
	accepted                             map[string]*acceptedTask
	acceptedOrder                        []string
	requests                             map[string]*requestFact
	requestOrder                         []string
	refused                              map[string]string
	doubles                              []taskFact
}

func newHistory() *history {
	return &history{
		states: map[string][]stateFact{}, accepted: map[string]*acceptedTask{},
		requests: map[string]*requestFact{}, refused: map[string]string{},
	}
}

// stateAt returns the last state that the task took by the time.
func (h *history) stateAt(taskID string, at time.Time) (stateFact, bool) {
	var last stateFact
	found := false
	for _, fact := range h.states[taskID] {
		if fact.at.After(at) {
			break
		}
		last, found = fact, true
	}
	return last, found
}
