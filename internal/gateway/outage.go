package gateway

import (
	"sync"
	"time"
)

// probeInterval is the time between two submissions that are attempted during a known outage of the store.
const probeInterval = 500 * time.Millisecond

// outage tracks whether jobs can be stored. During an outage, submissions are refused at once and without a
// write, so that a refused job is certainly not stored and the caller can try another entry. It is safe for
// concurrent use.
type outage struct {
	mu sync.Mutex
	// since is the time of the first of the consecutive failed attempts, or zero after a success.
	since   time.Time
	probeAt time.Time
}

// allowAttempt reports whether a submission may be attempted now. During an outage it allows one per
// probeInterval.
func (o *outage) allowAttempt(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.since) < refuseAfter {
		return true
	}
	if now.Before(o.probeAt) {
		return false
	}
	o.probeAt = now.Add(probeInterval)
	return true
}

// recordAttempt records whether an attempt failed, and reports whether attempts have failed for refuseAfter.
func (o *outage) recordAttempt(failed bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !failed:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	}
	return !o.since.IsZero() && now.Sub(o.since) >= refuseAfter
}
