package task

import "time"

// Delays before the next assignment.
const (
	// firstRestartDelay and maxRestartDelay are the bounds of the exponential delay after failures.
	firstRestartDelay = time.Second
	maxRestartDelay   = 5 * time.Minute
	// refusalDelay is the delay after a refused start. Heartbeats arrive once a second; the delay gives
	// the next one time to correct the view of the worker on which the assignment was based.
	refusalDelay = 500 * time.Millisecond
	// stableRunTime is the run time of an attempt after which a failure resets the count of restarts.
	stableRunTime = 10 * time.Minute
)

// exponentialDelay returns first doubled count-1 times, at most limit. The count is at least 1.
func exponentialDelay(first, limit time.Duration, count uint32) time.Duration {
	delay := first
	for range count - 1 {
		if delay >= limit {
			return limit
		}
		delay *= 2
	}
	return min(delay, limit)
}
