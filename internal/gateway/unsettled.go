package gateway

import (
	"sync"
	"time"
)

const (
	// unsettledTime is how long a write without an answer may still take effect.
	unsettledTime = time.Minute
	// maxUnsettled bounds the jobs that are remembered; the oldest are forgotten first.
	maxUnsettled = 4096
)

// unsettled remembers the jobs of which this entry could not tell whether they are stored. Until that is
// known, the entry must not say of a repeated hand-in that the job never runs. It is safe for concurrent
// use.
type unsettled struct {
	mu    sync.Mutex
	since map[string]time.Time
	// order holds the ids, oldest first.
	order []string
}

func newUnsettled() *unsettled { return &unsettled{since: map[string]time.Time{}} }

// add remembers a job.
func (u *unsettled) add(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.since[id]; !known {
		u.order = append(u.order, id)
	}
	u.since[id] = now
	for len(u.order) > 0 && (len(u.order) > maxUnsettled || now.Sub(u.since[u.order[0]]) > unsettledTime) {
		delete(u.since, u.order[0])
		u.order = u.order[1:]
	}
}

// has reports whether the job is remembered.
func (u *unsettled) has(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, known := u.since[id]
	return known && now.Sub(since) <= unsettledTime
}
