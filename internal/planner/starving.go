package planner

import "time"

const (
	// maxIdle is how long a job may have nothing running while most of its workers' capacity is free. A job
	// that waits longer starts one task, also where that has to work at a low pace.
	maxIdle = 2200 * time.Millisecond
	// freeEnough is the part of the capacity of a service that may be reserved at the most for that.
	freeEnough = 0.6
)

// starving reports whether the job has had nothing running for maxIdle though there is room.
func (p *Planner) starving(e *entry) bool {
	if e.assigned > 0 || p.now-e.idleSince < maxIdle {
		return false
	}
	return p.reservedShare(p.service(e)) <= freeEnough
}

// reservedShare returns the part of the capacity of a service's ready workers that is reserved: of its
// processors or of its memory, whichever is more.
func (p *Planner) reservedShare(service string) float64 {
	var capacity, reserved struct{ cpu, memory int64 }
	for _, a := range p.workers {
		if a.service != service || !a.up || !a.ready || a.leaving {
			continue
		}
		capacity.cpu += a.capacity.MilliCPU
		capacity.memory += a.capacity.MemoryBytes
		reserved.cpu += a.reserved.MilliCPU
		reserved.memory += a.reserved.MemoryBytes
	}
	return max(
		float64(reserved.cpu)/float64(max(capacity.cpu, 1)),
		float64(reserved.memory)/float64(max(capacity.memory, 1)),
	)
}
