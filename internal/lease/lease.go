// Package lease holds the timing rules of the worker lease, the start permit and worker silence. It is
// pure: it reads no clock, and every time is passed in by the caller. Its types are not safe for
// concurrent use.
package lease

import "time"

// Timing of leases and permits. A lease counts from the send time of the acknowledged heartbeat and
// silence counts from the acknowledgement, so the agent gives up at least Margin before an entry may
// deny the worker.
const (
	// Term is how long a worker may run tasks after an acknowledged heartbeat was sent.
	Term = 6 * time.Second
	// Margin is what an entry waits beyond Term for clocks that run at different rates.
	Margin = 1500 * time.Millisecond
	// SilenceTerm is how long an entry must not have acknowledged a worker before it denies it.
	SilenceTerm = Term + Margin
	// PermitTerm is how long a confirmation of the configuration permits task starts.
	PermitTerm = 3 * time.Second
)
