package gateway

import (
	"sync"
	"time"
)

// suspicionReason is why the store is suspect.
type suspicionReason uint8

// Reasons of a suspicion.
const (
	// suspectWatch is a watch of the operator's keys that was cut or got no response.
	suspectWatch suspicionReason = iota
	// suspectCall is any other call that failed.
	suspectCall
	// suspectHint is a suspicion that another entry has reported.
	suspectHint
	suspicionReasonCount
)

// String returns the reason's name as used in logs and metrics.
func (r suspicionReason) String() string {
	return [suspicionReasonCount]string{"watch", "call", "hint"}[r]
}

// hintInterval is the minimum time between two hints of this entry to the others.
const hintInterval = time.Second

// suspicion tracks whether there is reason to doubt that the store answers. A submission then reads before it writes.
// It is safe for concurrent use.
type suspicion struct {
	mu      sync.Mutex
	suspect bool
	// raisedAt is the time of the latest reason.
	raisedAt time.Time
	// hintedAt is when the last hint was sent.
	hintedAt time.Time
}

// isSuspect reports whether the store is suspect.
func (s *suspicion) isSuspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspect
}

// raise records a reason and reports whether the store was not suspect before.
func (s *suspicion) raise(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.suspect
	s.suspect, s.raisedAt = true, now
	return changed
}

// requestHint reports whether a hint may be sent, and counts it as sent.
func (s *suspicion) requestHint(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hintedAt.IsZero() && now.Sub(s.hintedAt) < hintInterval {
		return false
	}
	s.hintedAt = now
	return true
}

// clear records an answer to a call that was sent at the given time, and reports whether it ends the suspicion. An answer
// to a call from before the latest reason does not: the store may have gone away since.
func (s *suspicion) clear(sent time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.suspect || sent.Before(s.raisedAt) {
		return false
	}
	s.suspect = false
	return true
}
