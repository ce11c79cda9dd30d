// Package lease implements the timing rules of the worker lease, of the start permit and of the detection
// of silent workers. It reads no clock: the caller passes in every time. Its types are not safe for
// concurrent use.
package lease

import "time"

// Durations of leases and permits. A lease starts when the acknowledged heartbeat was sent, and silence
// starts at the acknowledgement, so the agent's lease ends at least ClockDriftMargin before an entry may deny the
// worker.
const (
	// Term is how long a worker may run tasks after an acknowledged heartbeat was sent.
	Term = 6 * time.Second
	// ClockDriftMargin is how long an entry waits beyond Term, to allow for clocks that run at different rates.
	ClockDriftMargin = 1500 * time.Millisecond
	// SilenceTerm is the time without an acknowledgement to a worker after which an entry denies the worker.
	SilenceTerm = Term + ClockDriftMargin
	// PermitTerm is how long tasks may be started after the configuration was confirmed.
	PermitTerm = 3 * time.Second
)
