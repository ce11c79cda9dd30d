package losses

import "time"

// run is one run of a task.
type run struct {
	step     int
	number   int
	agent    string
	assigned time.Time
	// ended is zero while no end was logged.
	ended    time.Time
	estimate time.Duration
	outcome  string
	// promoted is why the run was placed out of order, or empty.
	promoted PromotionReason
	// movedAt is when the coordinator decided to move the run away from a run with a latency target, or zero.
	movedAt time.Time
	// movedPercent is the progress at that time, in percent, or the most that a move discards if it was not logged.
	movedPercent int
}

const (
	// outcomeDone is the outcome of a run that completed its task.
	outcomeDone = "done"
	// outcomeFailed is the outcome of a run that failed. The checkpoint of its task is dropped.
	outcomeFailed = "failed"
)

// moved reports whether the run ended because it was moved.
func (r *run) moved() bool {
	return !r.movedAt.IsZero() && r.outcome != outcomeDone && r.outcome != outcomeFailed
}
