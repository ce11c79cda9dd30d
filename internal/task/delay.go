package task

import "time"

// Delays before the next assignment.
const (
	// firstRestartDelay and maxRestartDelay bound the doubling delay after failures.
	firstRestartDelay = time.Second
	maxRestartDelay   = 5 * time.Minute
	// refusalDelay lets the next heartbeat, one second apart, correct the view that was refused.
	refusalDelay = 500 * time.Millisecond
	// stableRunTime is the run time after which a failure counts as the first one again.
	stableRunTime = 10 * time.Minute
)

// doubled returns first doubled count-1 times, at most limit.
func doubled(first, limit time.Duration, count uint32) time.Duration {
	delay := first
	for range count - 1 {
		if delay >= limit {
			return limit
		}
		delay *= 2
	}
	return min(delay, limit)
}
