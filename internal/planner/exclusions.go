package planner

import (
	"fmt"
	"strings"
)

// exclusions counts workers by the reason for which each is excluded from the placement of a task.
type exclusions [exclusionCount]int32

// last returns the reason that is checked last among those that exclude a worker, or StallNone if none does.
func (e *exclusions) last() StallReason {
	for reason := exclusionCount - 1; reason > StallNone; reason-- {
		if e[reason] > 0 {
			return reason
		}
	}
	return StallNone
}

// String lists the numbers in the order of the checks.
func (e *exclusions) String() string {
	var parts []string
	for reason := StallNone + 1; reason < exclusionCount; reason++ {
		if e[reason] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", e[reason], reason))
		}
	}
	return strings.Join(parts, ", ")
}
