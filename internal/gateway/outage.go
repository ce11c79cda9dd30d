package gateway

import (
	"sync"
	"time"
)

// probeInterval is the time between two hand-ins that are tried while the store is known to be away.
const probeInterval = 500 * time.Millisecond

// outage follows whether jobs can be stored. While they certainly can't, hand-ins are refused at once and
// without a write, so that the refusal is true and the caller can try elsewhere. It is safe for concurrent
// use.
type outage struct {
	mu sync.Mutex
	// since is when the first attempt of those that failed in a row failed, or zero.
	since   time.Time
	probeAt time.Time
}

// allow reports whether a hand-in may be tried now.
func (o *outage) allow(now time.Time) bool {
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

// note takes in whether an attempt failed, and reports whether the store counts as away.
func (o *outage) note(failed bool, now time.Time) bool {
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
