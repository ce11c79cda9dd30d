package coordinator

import (
	"sync"
	"time"
)

// answerTracker tracks since when the store answers. It implements store.Observer.
type answerTracker struct {
	now func() time.Duration

	mu sync.Mutex
	// since is the first answer after the latest failure, or zero after a failure.
	since time.Duration
}

// Answered implements store.Observer.
func (a *answerTracker) Answered(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since == 0 {
		a.since = a.now()
	}
}

// Unanswered implements store.Observer.
func (a *answerTracker) Unanswered(bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.since = 0
}

// answeredSince returns since when the store answers, or zero if it does not.
func (a *answerTracker) answeredSince() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since
}
