package controller

import (
	"sync"
	"time"

	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// resendInterval is the time after which an unanswered message is sent again.
const resendInterval = time.Second

// sent is the last message about an attempt.
type sent struct {
	attempt uint32
	state   task.State
	at      time.Time
}

// unsent is an assignment that this entry committed and has not sent a Start for.
type unsent struct {
	attempt uint32
	epoch   uint64
}

// sends remembers what was sent, to pace repetitions and to know which Starts were never sent.
type sends struct {
	mu     sync.Mutex
	last   map[string]sent
	unsent map[string]unsent
}

func newSends() *sends { return &sends{last: map[string]sent{}, unsent: map[string]unsent{}} }

// expect notes assignments before they are committed, so that no Start can precede the note.
func (s *sends) expect(assignments []scheduler.Assignment, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, assignment := range assignments {
		s.unsent[assignment.TaskID] = unsent{assignment.Attempt + 1, epoch}
	}
}

// discard drops notes of assignments whose commit failed or is unknown.
func (s *sends) discard(assignments []scheduler.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, assignment := range assignments {
		delete(s.unsent, assignment.TaskID)
	}
}

// mayHaveStarted reports whether a Start for the recorded attempt may have been sent. Another
// owner may have sent one in another epoch.
func (s *sends) mayHaveStarted(record *task.Record, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	note, ok := s.unsent[record.ID]
	return !ok || note.attempt != record.Attempt || note.epoch != epoch
}

// due reports whether a message for the record's state is to be sent now, and notes it as sent.
func (s *sends) due(record *task.Record, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.last[record.ID]
	if ok && last.attempt == record.Attempt && last.state == record.State && now.Sub(last.at) < resendInterval {
		return false
	}
	s.last[record.ID] = sent{record.Attempt, record.State, now}
	delete(s.unsent, record.ID)
	return true
}

// retain forgets tasks that have no assignment any more.
func (s *sends) retain(held map[string]struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.last {
		if _, ok := held[id]; !ok {
			delete(s.last, id)
		}
	}
}
