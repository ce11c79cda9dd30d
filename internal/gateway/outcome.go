package gateway

import "time"

// Outcome is the result of a submission or a cancellation, as reported to the caller.
type Outcome uint8

// Outcomes of a submission or a cancellation.
const (
	// Accepted is a job, or a cancellation, that is stored.
	Accepted Outcome = 1
	// Refused is a job that is not stored and never runs.
	Refused Outcome = 2
	// Unknown is a call that may or may not have taken effect.
	Unknown Outcome = 3
	// NoQueue is a call for a queue that does not exist.
	NoQueue Outcome = 4
	// NoJob is a call for a job that does not exist.
	NoJob Outcome = 5
	// Invalid is a job whose specification is invalid.
	Invalid Outcome = 6
)

// String returns the outcome's name as used in logs, or "other".
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
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	// Reason explains an outcome other than Accepted.
	Reason string
	// storeFailed is set if a submission is refused because of an error of the store.
	storeFailed bool
}
