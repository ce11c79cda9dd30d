package backlog

import "sync"

// allowanceDivisor makes what an entry stores without news of the coordinator a sixteenth of the limit.
const allowanceDivisor = 16

// Admission decides at an entry whether a job may be stored. It follows the state that the coordinator has stored. Between
// two confirmations of that state, which come about once a second, it admits only a part of the limit: jobs that the
// coordinator has not seen yet can't fill it. It is safe for concurrent use. A nil Admission admits everything.
type Admission struct {
	allowance int64

	mu    sync.Mutex
	state State
	// admitted is the memory of what was admitted since the latest confirmation, and queues that of each queue.
	admitted int64
	queues   map[string]int64
	// cancellations is that of cancellations without a job.
	cancellations int64
}

// NewAdmission returns the admission of an entry with the limit, or nil without a limit.
func NewAdmission(limit Limit) *Admission {
	if limit == 0 {
		return nil
	}
	return &Admission{allowance: int64(limit) / allowanceDivisor, queues: map[string]int64{}}
}

// SetState replaces the state of the coordinator.
func (a *Admission) SetState(state State) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = state
}

// Confirm records that the state was read again.
func (a *Admission) Confirm() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitted, a.cancellations = 0, 0
	clear(a.queues)
}

// AdmitJob reports whether a job of the queue that needs the given memory in bytes may be stored.
func (a *Admission) AdmitJob(queue string, bytes int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.IsClosed(queue) || !a.hasRoomLocked(a.queues[queue]) {
		return false
	}
	a.admitted += bytes
	a.queues[queue] += bytes
	return true
}

// AdmitCancellation reports whether the cancellation of an unknown job may be stored.
func (a *Admission) AdmitCancellation() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Cancellations || !a.hasRoomLocked(a.cancellations) {
		return false
	}
	a.admitted += CancellationBytes
	a.cancellations += CancellationBytes
	return true
}

// hasRoomLocked reports whether a queue that has taken some bytes of the allowance may take more: not if it has taken more
// than is left for the others. The last job may exceed the allowance, so that any single job is admitted in calm.
func (a *Admission) hasRoomLocked(taken int64) bool {
	free := a.allowance - a.admitted
	return free > 0 && taken <= free
}
