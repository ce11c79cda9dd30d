package planner

import "time"

// Timing holds the times that the planner works with.
type Timing struct {
	// Authority is how long an agent may extend its worker's lease after the send time of an
	// acknowledged ping.
	Authority time.Duration
	// Margin is what the planner waits beyond Authority for clocks that run at different rates.
	Margin time.Duration
	// StatusPeriod is how long a finished job is kept.
	StatusPeriod time.Duration
}

const (
	// refusalPenalty is how long no task is placed on a worker that did not take one.
	refusalPenalty = 300 * time.Millisecond
	// orderTimeout is how long an order may go without any sign of it before it is repeated.
	orderTimeout = 3 * time.Second
	// suspectAfter is the number of failed runs in a row after which a worker is suspected.
	suspectAfter = 3
	// suspectPeriod is how long a suspected worker gets no task before it is tried with one again.
	suspectPeriod = 2 * time.Second
	// maxSuspectPeriod bounds the growing pause of a worker that keeps failing.
	maxSuspectPeriod = 8 * time.Second
	// noticeBeforeLeave is how long before the end of a leaving worker its runs are stopped, so that
	// their checkpoints are saved and they go on elsewhere.
	noticeBeforeLeave = 900 * time.Millisecond
)
