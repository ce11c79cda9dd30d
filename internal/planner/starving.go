package planner

import "time"

const (
	// maxJobIdle is how long a job may have no assigned task while enough capacity of its service is free.
	// After that one of its tasks is started even on a worker on which it is throttled.
	maxJobIdle = 2200 * time.Millisecond
	// maxReservedShare is the reserved share of a service's capacity up to which enough of it counts as free.
	maxReservedShare = 0.6
)

// starving reports whether the job has had no assigned task for maxJobIdle although enough capacity is free.
func (p *Planner) starving(e *entry) bool {
	if e.assigned > 0 || p.now-e.idleSince < maxJobIdle {
		return false
	}
	service := p.service(e)
	if !p.passShare.valid || p.passShare.service != service {
		share := p.reservedShare(service)
		p.passShare = passShare{valid: p.assigning, service: service, share: share}
	}
	return p.passShare.share <= maxReservedShare
}

// passShare is the reserved share of a service's capacity as of the latest placement of a pass. Without it, a pass over
// many idle jobs spends half of its time on computing the same share.
type passShare struct {
	valid   bool
	service string
	share   float64
}

// reservedShare returns the reserved share of the capacity of a service's ready workers: that of their
// processors or of their memory, whichever is larger.
func (p *Planner) reservedShare(service string) float64 {
	var capacity, reserved struct{ cpu, memory int64 }
	for _, a := range p.workers {
		if a.service != service || !a.connected || !a.ready || a.leaving {
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
