package agent

import "clementineflow/internal/resource"

// Limits bounds what the agent admits below what the runtime and the targets offer. A zero field
// sets no bound.
type Limits struct {
	Size resource.Quantity
	// Slots and Connections bound each target.
	Slots, Connections int
}

// capacity returns the part of the offered capacity that may be used.
func (l Limits) capacity(offered resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     bounded(offered.MilliCPU, l.Size.MilliCPU),
		MemoryBytes:  bounded(offered.MemoryBytes, l.Size.MemoryBytes),
		Accelerators: bounded(offered.Accelerators, l.Size.Accelerators),
	}
}

// bounded returns the lower of the offered value and a limit that is not zero.
func bounded[T int | int64](offered, limit T) T {
	if limit > 0 && limit < offered {
		return limit
	}
	return offered
}
