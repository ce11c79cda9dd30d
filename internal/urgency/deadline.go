package urgency

import "time"

// LateFactor is the multiple of its objective within which the end of a late job is still of use.
const LateFactor = 3

// Deadline holds the times by which a job has to end.
type Deadline struct {
	// InTime is the latest end that meets the objective.
	InTime time.Duration
	// Useful is the latest end that is of use.
	Useful time.Duration
}

// Level returns the level of a job that ends at the given time.
func (d Deadline) Level(end time.Duration) Level {
	switch {
	case end <= d.InTime:
		return InTime
	case end <= d.Useful:
		return Late
	default:
		return Overdue
	}
}
