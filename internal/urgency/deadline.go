package urgency

import "time"

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
