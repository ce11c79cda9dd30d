package gateway

import (
	"sync"
	"time"
)

const (
	// unsettledTime is how long a write without a reply may still take effect.
	unsettledTime = time.Minute
	// maxUnsettled bounds the recorded jobs; the oldest are removed first.
	maxUnsettled = 4096
)

// unsettled records the jobs that may or may not have been stored by this entry. While a job is recorded, a
// repeated submission of it must not be reported as refused, since the earlier write may still take effect. It
// is safe for concurrent use.
type unsettled struct {
	mu    sync.Mutex
	since map[string]time.Time
	// order holds the ids, oldest first.
	order []string
}

func newUnsettled() *unsettled { return &unsettled{since: map[string]time.Time{}} }

// add records a job and removes expired and excess ones.
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

// has reports whether the job was recorded within unsettledTime.
func (u *unsettled) has(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, known := u.since[id]
	return known && now.Sub(since) <= unsettledTime
}
