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

// InfeasibleError reports a specification that no known worker could ever hold.
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

// Feasible returns nil if an empty worker of the capacities could hold the specification, or an
// *InfeasibleError. Without a known worker nothing can be ruled out.
func Feasible(spec *task.Spec, capacities []Capacity) error {
	var excluded tally
	for _, capacity := range capacities {
		reason := impossible(spec, capacity)
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

func impossible(spec *task.Spec, capacity Capacity) Reason {
	if len(spec.Zones) > 0 && !slices.Contains(spec.Zones, capacity.Zone) {
		return ReasonZoneNotAllowed
	}
	return shortage(spec.Size, capacity.Size)
}

// shortage returns the reason for the first component that does not fit, or 0.
func shortage(need, free resource.Quantity) Reason {
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
