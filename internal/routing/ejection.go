package routing

import "time"

// Rules for the ejection of outliers.
const (
	// failuresToEject is the number of consecutive failures after which a worker is ejected.
	failuresToEject = 5
	// slowFactor is the ratio to the peers' median latency above which a worker is ejected.
	slowFactor = 3
	// slowSamples is the number of samples that a latency needs before it can eject a worker.
	slowSamples = 20
	// slowFloor keeps differences that do not matter from ejecting a worker.
	slowFloor = 5 * time.Millisecond
	// ejectionBase is the length of the first ejection; each further one doubles it.
	ejectionBase = 5 * time.Second
	// ejectionMaximum bounds the length of an ejection.
	ejectionMaximum = 80 * time.Second
	// ejectionForget is the time without an ejection after which the length starts again.
	ejectionForget = 2 * ejectionMaximum
	// carryShare is the share of the remaining capacity that the load may take after an ejection.
	carryShare = 0.8
)

// EjectionCause says why a worker was ejected.
type EjectionCause uint8

// Causes of an ejection.
const (
	EjectedForFailures EjectionCause = iota + 1
	EjectedForLatency
)

// String returns the cause for logs and metrics.
func (c EjectionCause) String() string {
	if c == EjectedForFailures {
		return "failures"
	}
	return "latency"
}

// Ejection reports that a worker gets no requests of a service for a time.
type Ejection struct {
	Service, Worker string
	Cause           EjectionCause
	For             time.Duration
}

// ejection is the ejection state of a target.
type ejection struct {
	failures int
	count    int
	until    time.Time
}

// active reports whether the target is ejected.
func (e *ejection) active(now time.Time) bool { return e.count > 0 && now.Before(e.until) }

// begin ejects the target and returns for how long.
func (e *ejection) begin(now time.Time) time.Duration {
	if e.count > 0 && now.Sub(e.until) > ejectionForget {
		e.count = 0
	}
	length := ejectionMaximum
	if e.count < 4 {
		length = min(length, ejectionBase<<e.count)
	}
	e.count++
	e.failures = 0
	e.until = now.Add(length)
	return length
}
