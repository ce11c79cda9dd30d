package runner

import "time"

// slowestClockRate is how much the worker's clock advances at least in one second.
const slowestClockRate = 0.98

// looksPerLease is the least number of looks within what is left of a lease.
const looksPerLease = 4

// runLease works out how far the worker's lease may be extended. All times but the worker's clock are of
// the agent's clock, which counts suspended time.
type runLease struct {
	// term is the longest extension at a time.
	term time.Duration
	// authority is until when the coordinator lets the agent extend the lease.
	authority time.Duration
	// limit is when every lease that was given so far has certainly ended.
	limit time.Duration
	// clock is a reading of the worker's clock that arrived at readAt.
	clock  time.Duration
	readAt time.Duration
}

// observe takes in a reading of the worker's clock.
func (l *runLease) observe(clock, now time.Duration) {
	if clock >= l.clock {
		l.clock, l.readAt = clock, now
	}
}

// extend returns the time on the worker's clock until which the lease may last, at most term from now,
// and false if there is no authority or no reading of the clock.
func (l *runLease) extend(now, term time.Duration) (time.Duration, bool) {
	until := min(l.authority, now+term)
	if until <= now || l.readAt == 0 {
		return 0, false
	}
	l.limit = max(l.limit, until)
	// The worker's clock read at least l.clock at readAt and advances at the slowest rate from there,
	// so it reaches this value at until or before.
	due := l.clock + time.Duration(slowestClockRate*float64(until-l.readAt))
	return due.Truncate(time.Millisecond), true
}

// lookWait returns how long a look may wait for an end. Near the end of the lease a new authority must not
// wait behind a look: the lease would end in the meantime.
func (l *runLease) lookWait(now time.Duration) time.Duration {
	return max((l.limit-now)/looksPerLease, retryDelay)
}

// forgetClock drops the reading of a former life of the worker.
func (l *runLease) forgetClock() { l.clock, l.readAt = 0, 0 }
