package fleet

import (
	"time"

	"clementineflow/internal/wire"
)

// Timing of the worker lease (section 3.2 of the design).
const (
	// LeaseTerm is how long one acknowledgement extends a worker's lease.
	LeaseTerm = 6 * time.Second
	// LeaseMargin covers clock rates and the time that an agent needs to stop its tasks.
	LeaseMargin = 1500 * time.Millisecond
	// silenceWindow is the time without acknowledgement after which an entry denies a worker.
	silenceWindow = LeaseTerm + LeaseMargin
)

// bootKey names one boot of a worker.
type bootKey struct{ worker, bootID string }

// silence holds the time of the last acknowledgement to each boot of each worker. It is pure: times
// are passed in.
type silence struct {
	since time.Time
	last  map[bootKey]time.Time
}

// newSilence returns the state of an entry that came up at since.
func newSilence(since time.Time) *silence {
	return &silence{since: since, last: make(map[bootKey]time.Time)}
}

// acknowledge records an acknowledgement; it is called before the acknowledgement is sent.
func (s *silence) acknowledge(worker, bootID string, now time.Time) {
	s.last[bootKey{worker, bootID}] = now
}

// verdict states whether the entry denies the boot of the worker. An acknowledgement to a worker that
// stated no boot id counts for each of its boots.
func (s *silence) verdict(worker, bootID string, now time.Time) wire.SilenceVerdict {
	if s.recent(bootKey{worker, bootID}, now) || s.recent(bootKey{worker, ""}, now) {
		return wire.SilenceAcknowledged
	}
	if now.Sub(s.since) < silenceWindow {
		return wire.SilenceTooYoung
	}
	return wire.SilenceDenied
}

// recent reports whether the boot was acknowledged within the window.
func (s *silence) recent(key bootKey, now time.Time) bool {
	at, ok := s.last[key]
	return ok && now.Sub(at) < silenceWindow
}

// prune drops acknowledgements that no longer change a verdict, which bounds the memory.
func (s *silence) prune(now time.Time) {
	for key, at := range s.last {
		if now.Sub(at) >= silenceWindow {
			delete(s.last, key)
		}
	}
}
