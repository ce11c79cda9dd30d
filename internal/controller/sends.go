package controller

import (
	"sync"
	"time"

	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// resendInterval is the time after which a message is resent if the task's state has not changed.
const resendInterval = time.Second

// sentMessage is the last message sent for a task.
type sentMessage struct {
	attempt uint32
	state   task.State
	at      time.Time
}

// unsentStart is an assignment by this entry for which no Start was sent yet.
type unsentStart struct {
	attempt uint32
	epoch   uint64
}

// sendTracker records which messages were sent. It limits the rate of resends and identifies the
// attempts for which no Start was sent.
type sendTracker struct {
	mu     sync.Mutex
	last   map[string]sentMessage
	unsent map[string]unsentStart
}

func newSendTracker() *sendTracker {
	return &sendTracker{last: map[string]sentMessage{}, unsent: map[string]unsentStart{}}
}

// addUnsent records assignments as unsent. It must be called before their commit, because the send
// loop may send the Start right after it.
func (s *sendTracker) addUnsent(assignments []scheduler.Assignment, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, assignment := range assignments {
		s.unsent[assignment.TaskID] = unsentStart{assignment.Attempt + 1, epoch}
	}
}

// removeUnsent removes assignments that were not committed or whose commit has an unknown outcome.
func (s *sendTracker) removeUnsent(assignments []scheduler.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, assignment := range assignments {
		delete(s.unsent, assignment.TaskID)
	}
}

// mayHaveStarted reports whether a Start for the recorded attempt may have been sent. It returns true
// if the assignment was made in another epoch, since another owner may have sent the Start.
func (s *sendTracker) mayHaveStarted(record *task.Record, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, ok := s.unsent[record.ID]
	return !ok || start.attempt != record.Attempt || start.epoch != epoch
}

// markSentIfDue reports whether a message for the record's state is due. If so, it records the
// message as sent.
func (s *sendTracker) markSentIfDue(record *task.Record, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.last[record.ID]
	if ok && last.attempt == record.Attempt && last.state == record.State && now.Sub(last.at) < resendInterval {
		return false
	}
	s.last[record.ID] = sentMessage{record.Attempt, record.State, now}
	delete(s.unsent, record.ID)
	return true
}

// retainTasks removes the sent messages of tasks that are not in held.
func (s *sendTracker) retainTasks(held map[string]struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.last {
		if _, ok := held[id]; !ok {
			delete(s.last, id)
		}
	}
}
