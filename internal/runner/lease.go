package runner

import "time"

// minClockRate is the lowest assumed rate of the worker's clock, relative to the agent's clock.
const minClockRate = 0.98

// pollsPerLease is the minimum number of polls within the remaining time of a lease.
const pollsPerLease = 4

// runLease computes how far the worker's lease may be extended. All times except workerClock are on the
// agent's clock, which also advances while the machine is suspended.
type runLease struct {
	// maxExtension is the maximum time by which one call extends the lease.
	maxExtension time.Duration
	// authorizedUntil is the latest lease end that the coordinator's ping replies allow.
	authorizedUntil time.Duration
	// endsBy is the time by which every lease granted so far has ended, whatever the worker's clock rate.
	endsBy time.Duration
	// workerClock is the latest reading of the worker's clock, received at readAt.
	workerClock time.Duration
	readAt      time.Duration
}

// observeClock stores a reading of the worker's clock unless it is older than the stored one.
func (l *runLease) observeClock(clock, now time.Duration) {
	if clock >= l.workerClock {
		l.workerClock, l.readAt = clock, now
	}
}

// extend returns the time on the worker's clock until which the lease may last, at most term from now. It
// returns false if the authority has ended or no reading of the worker's clock is available.
func (l *runLease) extend(now, term time.Duration) (time.Duration, bool) {
	until := min(l.authorizedUntil, now+term)
	if until <= now || l.readAt == 0 {
		return 0, false
	}
	l.endsBy = max(l.endsBy, until)
	// The worker's clock read at least l.workerClock at readAt and advances at minClockRate or faster, so it
	// reaches this value at until or before.
	leaseEnd := l.workerClock + time.Duration(minClockRate*float64(until-l.readAt))
	return leaseEnd.Truncate(time.Millisecond), true
}

// maxPollWait returns how long a poll may wait for a run to end. The wait shrinks towards the end of the
// lease: a renewed authority is only used by the next poll, and the lease must not end before it.
func (l *runLease) maxPollWait(now time.Duration) time.Duration {
	return max((l.endsBy-now)/pollsPerLease, retryDelay)
}

// resetClock drops the clock reading of the worker's previous incarnation.
func (l *runLease) resetClock() { l.workerClock, l.readAt = 0, 0 }
