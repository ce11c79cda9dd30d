package routing

import "time"

// Rules for the ejection of outliers.
const (
	// failuresToEject is the number of consecutive failures after which a worker is ejected.
	failuresToEject = 5
	// ejectSlowFactor is the ratio to the service's median latency above which a worker is ejected.
	ejectSlowFactor = 3
	// minSlowSamples is the number of latency samples needed before a worker can be ejected as slow.
	minSlowSamples = 20
	// minSlowDifference is the difference from the median up to which a worker is not ejected as slow;
	// smaller differences do not matter to clients.
	minSlowDifference = 5 * time.Millisecond
	// firstEjection is the duration of the first ejection; each further one doubles it.
	firstEjection = 5 * time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = 80 * time.Second
	// ejectionResetAfter is the time since the last ejection ended after which the duration starts again
	// at firstEjection.
	ejectionResetAfter = 2 * maxEjection
	// maxRemainingLoad is the largest share of the remaining workers' limit that the requests in progress
	// may take for ejections to apply.
	maxRemainingLoad = 0.8
)

// EjectionCause is the reason for which a worker was ejected.
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

// Ejection describes the temporary exclusion of a worker from the requests of a service.
type Ejection struct {
	Service, Worker string
	Cause           EjectionCause
	Duration        time.Duration
}

// ejection is the ejection state of a target.
type ejection struct {
	// failures counts consecutive failures; count is the number of ejections since the last reset.
	failures int
	count    int
	until    time.Time
}

// active reports whether the target is ejected.
func (e *ejection) active(now time.Time) bool { return e.count > 0 && now.Before(e.until) }

// begin ejects the target and returns the duration of the ejection.
func (e *ejection) begin(now time.Time) time.Duration {
	if e.count > 0 && now.Sub(e.until) > ejectionResetAfter {
		e.count = 0
	}
	duration := maxEjection
	if e.count < 4 {
		duration = min(duration, firstEjection<<e.count)
	}
	e.count++
	e.failures = 0
	e.until = now.Add(duration)
	return duration
}
