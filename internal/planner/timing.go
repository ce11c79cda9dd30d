package planner

import "time"

// Timing holds the configurable durations of the planner.
type Timing struct {
	// Authority is how long an agent may extend its worker's lease after the send time of an
	// acknowledged ping.
	Authority time.Duration
	// Margin is the time that the planner waits in addition to Authority, to allow for clocks that run at
	// different rates.
	Margin time.Duration
	// StatusPeriod is how long the record of a finished job is kept.
	StatusPeriod time.Duration
}

const (
	// refusalPause is how long no task is assigned to a worker after it refused one.
	refusalPause = 300 * time.Millisecond
	// orderTimeout is how long an order may be unanswered before it is sent again.
	orderTimeout = 3 * time.Second
	// suspectAfter is the number of failed runs in a row after which a worker is suspected.
	suspectAfter = 3
	// crashLoopAfter is the number of crashes in a row after which a worker is the last choice for a task.
	crashLoopAfter = 2
	// crashMemory is how long after its latest crash that holds.
	crashMemory = time.Minute
	// suspectPeriod is how long a suspected worker first gets no task before it is probed with one. The pause
	// doubles with each further failure.
	suspectPeriod = 2 * time.Second
	// maxSuspectPeriod is the upper bound of that pause.
	maxSuspectPeriod = 8 * time.Second
	// probePeriod is how long a suspected worker gets no other run than its probe, which may work for long.
	probePeriod = 2 * time.Second
	// evictionLeadTime is how long before the shutdown of a leaving worker its runs are stopped, so that their
	// checkpoints are saved and they resume on other workers.
	evictionLeadTime = 900 * time.Millisecond
)
