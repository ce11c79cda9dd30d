package planner

import (
	"fmt"

	"clementineflow/internal/resource"
)

// roomFields returns what one task of the step reserves, the largest free amount of each resource on any allowed worker,
// and how much of the service is reserved, in all and by tasks of lower priority.
func (p *Planner) roomFields(r ref) []any {
	need, service := reservedNeed(r.definition()), p.service(r.entry)
	var free resource.Quantity
	var capacity int64
	for _, a := range p.workers {
		if a.service == service && a.available() {
			capacity += a.capacity.MilliCPU
		}
		if p.allowedForService(service, r.definition(), a) {
			free.MilliCPU = max(free.MilliCPU, a.free().MilliCPU)
			free.MemoryBytes = max(free.MemoryBytes, a.free().MemoryBytes)
			free.Accelerators = max(free.Accelerators, a.free().Accelerators)
		}
	}
	return []any{
		"need", quantityText(need), "most_free", quantityText(free),
		"reserved_percent", int(fullPercent * p.reservedShare(service)),
		"lower_priority_percent", fullPercent * p.reservedBelow(r.entry) / max(capacity, 1),
	}
}

// reservedBelow returns the processors that tasks of queues with a lower priority reserve on workers of the job's
// service, in thousandths of a core.
func (p *Planner) reservedBelow(e *entry) int64 {
	service, priority, reserved := p.service(e), p.priority(e), int64(0)
	for _, other := range p.active {
		if other.assigned == 0 || p.priority(other) <= priority || p.service(other) != service {
			continue
		}
		for step := range other.steps {
			definition, state := &other.spec.Steps[step], &other.steps[step]
			assigned := definition.Count - state.waiting - state.done
			reserved += int64(assigned) * reservedNeed(definition).MilliCPU
		}
	}
	return reserved
}

// quantityText returns an amount of resources for the log.
func quantityText(q resource.Quantity) string {
	return fmt.Sprintf("%dm %dMB %d accelerators", q.MilliCPU, q.MemoryBytes/1e6, q.Accelerators)
}
