package urgency

import (
	"cmp"
	"time"
)

// Rank is the place of a job among all that compete for the same capacity.
type Rank struct {
	// Priority is the operator's priority of the job's queue; 0 comes first.
	Priority int
	Level    Level
	// Work is the expected remaining processor time of the job. Of jobs with the same level, the one with the
	// least work comes first in either order: more of them end in time than in any other order.
	Work time.Duration
	// Deferred is set for a job without an end that comes, in the order ByCost, after the jobs of its priority that
	// end. Those give their room back; if it is scarce, the other way round they wait until more is added.
	Deferred bool
}

// Compare compares by priority, level and work, which is the order ByLevel. It returns a negative number if the rank comes
// before the other, and a positive one if it comes after it.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(
		cmp.Compare(r.Priority, other.Priority),
		cmp.Compare(r.Level, other.Level),
		cmp.Compare(r.Work, other.Work),
	)
}
