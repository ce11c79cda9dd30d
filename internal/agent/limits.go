package agent

import "clementineflow/internal/resource"

// Limits bounds what the agent admits, in addition to the bounds of the runtime and the targets. A zero
// field sets no bound.
type Limits struct {
	// Size bounds the capacity for tasks.
	Size resource.Quantity
	// Slots and Connections bound the slots and connections of each target.
	Slots, Connections int
}

// usableCapacity returns the offered capacity limited by Size.
func (l Limits) usableCapacity(offered resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     limitedBy(offered.MilliCPU, l.Size.MilliCPU),
		MemoryBytes:  limitedBy(offered.MemoryBytes, l.Size.MemoryBytes),
		Accelerators: limitedBy(offered.Accelerators, l.Size.Accelerators),
	}
}

// limitedBy returns the lower of the offered value and the limit. A limit of zero sets no bound.
func limitedBy[T int | int64](offered, limit T) T {
	if limit > 0 && limit < offered {
		return limit
	}
	return offered
}
