package gateway

import "time"

// Outcome is what an entry tells a caller about a submission or a cancellation.
type Outcome uint8

// Outcomes.
const (
	// Accepted is a job, or a cancellation, that is stored.
	Accepted Outcome = 1
	// Refused is a job that is not stored and never runs.
	Refused Outcome = 2
	// Unknown is a call of which the entry can't tell whether it took effect.
	Unknown Outcome = 3
	// NoQueue is a call for a queue that does not exist.
	NoQueue Outcome = 4
	// NoJob is a call for a job that does not exist.
	NoJob Outcome = 5
	// Invalid is a job that can never be run as described.
	Invalid Outcome = 6
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	case NoQueue:
		return "no queue"
	case NoJob:
		return "no job"
	case Invalid:
		return "invalid"
	default:
		return "other"
	}
}

// Reply is the answer to a submission or a cancellation.
type Reply struct {
	Outcome Outcome
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Reason says why a call was refused.
	Reason string
}
