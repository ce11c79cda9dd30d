package controller

import (
	"sync"
	"time"

	"clementineflow/internal/resource"
)

// releaseLag is how long a worker's free capacity may not contain the end of a task yet: one
// heartbeat and its way. Without it, room that an eviction has made would be invisible until the
// next heartbeat, and the waiting urgent task would evict again.
const releaseLag = 1500 * time.Millisecond

type release struct {
	size resource.Quantity
	at   time.Time
}

// released remembers the room that ended tasks have left in the last releaseLag.
type released struct {
	mu      sync.Mutex
	workers map[string][]release
}

func newReleased() *released { return &released{workers: map[string][]release{}} }

func (r *released) add(worker string, size resource.Quantity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[worker] = append(r.recent(worker, now), release{size, now})
}

// sum returns the room left since the last report of the worker.
func (r *released) sum(worker string, now time.Time) resource.Quantity {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.recent(worker, now)
	if len(recent) == 0 {
		delete(r.workers, worker)
		return resource.Quantity{}
	}
	r.workers[worker] = recent
	var total resource.Quantity
	for _, entry := range recent {
		total = total.Add(entry.size)
	}
	return total
}

// recent drops the entries that a report contains by now; they are ordered by time.
func (r *released) recent(worker string, now time.Time) []release {
	entries := r.workers[worker]
	for len(entries) > 0 && now.Sub(entries[0].at) >= releaseLag {
		entries = entries[1:]
	}
	return entries
}
