package gateway

import (
	"sync"
	"time"

	"clementineflow/internal/store"
)

const (
	// minSilence is the shortest time without an answer after which a write counts as silent.
	minSilence = store.MinSilence
	// silenceFactor is the ratio of that time to the usual duration of a store call, so that a slow store does not
	// count as silent.
	silenceFactor = 4
	// probeInterval is the time between two probes of the store during an outage.
	probeInterval = 250 * time.Millisecond
	// probePeriod is how long the store is probed after a refused submission.
	probePeriod = 2 * time.Second
)

// outage tracks whether jobs can be stored. During an outage submissions are refused at once and without a write, so
// that a refused job is certainly not stored and the caller can submit it again. The store is then probed by reads,
// which cost no caller its submission. It is safe for concurrent use.
type outage struct {
	mu sync.Mutex
	// failingSince is since when all calls have failed, or zero after a success.
	failingSince time.Time
	// succeededAt is when the latest call succeeded.
	succeededAt time.Time
	// known is set while the store is known to be away; confirmedAt is when that was last found.
	known       bool
	confirmedAt time.Time
	// started is closed when the next outage starts. It is nil if nobody waits for that.
	started chan struct{}
	// usual is the duration of the latest successful calls.
	usual time.Duration
	// probeUntil is when the current probing ends; it is zero while the store is not probed.
	probeUntil time.Time
}

// isKnown reports whether the store is known to be away.
func (o *outage) isKnown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known
}

// isStale reports whether the store was known to be away, but has not been probed lately because no submission came.
func (o *outage) isStale(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known && now.Sub(o.confirmedAt) > callTimeout+2*probeInterval
}

// silence returns the time without an answer after which a call counts as silent.
func (o *outage) silence() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(minSilence, silenceFactor*o.usual)
}

// recordSuccess records a call that the store has answered after the given time.
func (o *outage) recordSuccess(took time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usual = max(took, o.usual/2)
	o.failingSince, o.succeededAt, o.known = time.Time{}, now, false
}

// recordFailure records an attempt that has failed, or was without an answer, since the given time. Attempts that have
// failed for refuseAfter are an outage.
func (o *outage) recordFailure(since, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() {
		o.failingSince = since
		if since.Before(o.succeededAt) {
			o.failingSince = o.succeededAt
		}
	}
	if now.Sub(o.failingSince) >= refuseAfter {
		o.startLocked(now)
	}
}

// recordSilence records that a read awaited since the given time got no answer in time, unless the store has answered
// another call since.
func (o *outage) recordSilence(since, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.succeededAt.After(since) {
		o.startLocked(now)
	}
}

// startLocked records that the store is known to be away.
func (o *outage) startLocked(now time.Time) {
	if !o.known && o.started != nil {
		close(o.started)
		o.started = nil
	}
	o.known, o.confirmedAt = true, now
}

// nextStart returns a channel that is closed when the next outage starts.
func (o *outage) nextStart() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.started == nil {
		o.started = make(chan struct{})
	}
	return o.started
}

// confirm records a probe that failed. It does not start an outage, as a later call may have been answered meanwhile.
func (o *outage) confirm(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known {
		o.confirmedAt = now
	}
}

// requestProbing extends the probing of the store, and reports whether the caller has to start it.
func (o *outage) requestProbing(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	start := o.probeUntil.IsZero()
	o.probeUntil = now.Add(probePeriod)
	return start
}

// endProbing ends the probing if the outage is over or no submission has asked for it lately, and reports whether it
// has ended.
func (o *outage) endProbing(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known && now.Before(o.probeUntil) {
		return false
	}
	o.probeUntil = time.Time{}
	return true
}
