package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Capacity is the size and zone of one known worker.
type Capacity struct {
	Zone string
	Size resource.Quantity
}

// InfeasibleError reports a specification that does not fit on any known worker, even an empty one.
type InfeasibleError struct {
	Filtered []FilterCount
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	return "scheduler: no known worker could ever hold the task: " + FormatCounts(e.Filtered)
}

// FormatCounts returns the counts as "reason=workers", separated by spaces.
func FormatCounts(counts []FilterCount) string {
	parts := make([]string, 0, len(counts))
	for _, count := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", count.Reason, count.Workers))
	}
	return strings.Join(parts, " ")
}

// CheckFeasible returns nil if at least one of the workers could hold the task when empty, or else an
// *InfeasibleError. It also returns nil if no worker is known.
func CheckFeasible(spec *task.Spec, capacities []Capacity) error {
	var excluded reasonCounts
	for _, capacity := range capacities {
		reason := infeasibleReason(spec, capacity)
		if reason == 0 {
			return nil
		}
		excluded[reason]++
	}
	if len(capacities) == 0 {
		return nil
	}
	return &InfeasibleError{Filtered: excluded.counts()}
}

func infeasibleReason(spec *task.Spec, capacity Capacity) Reason {
	if len(spec.Zones) > 0 && !slices.Contains(spec.Zones, capacity.Zone) {
		return ReasonZoneNotAllowed
	}
	return shortageReason(spec.Size, capacity.Size)
}

// shortageReason returns the reason for the first resource of which too little is free, or 0.
func shortageReason(need, free resource.Quantity) Reason {
	switch {
	case need.MilliCPU > free.MilliCPU:
		return ReasonProcessors
	case need.MemoryBytes > free.MemoryBytes:
		return ReasonMemory
	case need.Accelerators > free.Accelerators:
		return ReasonAccelerators
	default:
		return 0
	}
}
