package planner

import (
	"fmt"

	"clementineflow/internal/resource"
)

// roomFields returns what one task of the step reserves, the largest free amount of each resource on any allowed worker,
// and how much of the service is reserved: in all, by tasks that are not long-running, and by tasks of lower priority.
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
	holders := p.roomHolders(r.entry)
	return []any{
		"need", quantityText(need), "most_free", quantityText(free),
		"reserved_percent", int(fullPercent * p.reservedShare(service)),
		"batch_percent", fullPercent * holders.batch / max(capacity, 1),
		"lower_priority_percent", fullPercent * holders.lowerPriority / max(capacity, 1),
	}
}

// roomHolders are shares of what the tasks of a service reserve, in thousandths of a core.
type roomHolders struct {
	// batch is reserved by tasks that are not long-running, so that it becomes free.
	batch int64
	// lowerPriority is reserved by tasks of queues with a lower priority than that of the job that needs room.
	lowerPriority int64
}

// roomHolders returns who holds the processors of the job's service.
func (p *Planner) roomHolders(e *entry) roomHolders {
	service, priority := p.service(e), p.priority(e)
	var holders roomHolders
	for _, other := range p.active {
		if other.assigned == 0 || p.service(other) != service {
			continue
		}
		for step := range other.steps {
			definition, state := &other.spec.Steps[step], &other.steps[step]
			reserved := int64(definition.Count-state.waiting-state.done) * reservedNeed(definition).MilliCPU
			if !definition.LongRunning {
				holders.batch += reserved
			}
			if p.priority(other) > priority {
				holders.lowerPriority += reserved
			}
		}
	}
	return holders
}

// quantityText returns an amount of resources for the log.
func quantityText(q resource.Quantity) string {
	return fmt.Sprintf("%dm %dMB %d accelerators", q.MilliCPU, q.MemoryBytes/1e6, q.Accelerators)
}
