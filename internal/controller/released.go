package controller

import (
	"sync"
	"time"

	"clementineflow/internal/resource"
)

// releaseLag is the maximum time until a worker's reported free capacity includes the resources of
// an ended task: one heartbeat interval and its transmission. Without this correction the planner
// would not count the resources freed by an eviction until the next heartbeat, and would evict
// another task for the same urgent task.
const releaseLag = 1500 * time.Millisecond

type release struct {
	size resource.Quantity
	at   time.Time
}

// releasedResources holds the resources that tasks released within the last releaseLag, per worker.
type releasedResources struct {
	mu      sync.Mutex
	workers map[string][]release
}

func newReleasedResources() *releasedResources {
	return &releasedResources{workers: map[string][]release{}}
}

func (r *releasedResources) add(worker string, size resource.Quantity, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[worker] = append(r.recent(worker, now), release{size, now})
}

// sum returns the resources released on a worker within the last releaseLag.
func (r *releasedResources) sum(worker string, now time.Time) resource.Quantity {
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

// recent returns the worker's releases that are younger than releaseLag. Releases are ordered by time.
func (r *releasedResources) recent(worker string, now time.Time) []release {
	entries := r.workers[worker]
	for len(entries) > 0 && now.Sub(entries[0].at) >= releaseLag {
		entries = entries[1:]
	}
	return entries
}
