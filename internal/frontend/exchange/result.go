package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

// Cause is the reason for which a request was not answered.
type Cause uint8

// Causes.
const (
	CauseNone Cause = iota
	// CauseNoTarget: no worker in service has a target of the service.
	CauseNoTarget
	// CauseQueueFull: the queue of the priority is full.
	CauseQueueFull
	// CauseDeadline: the deadline passed, or could not have been met.
	CauseDeadline
	// CauseBudget: the retry budget is used up.
	CauseBudget
	// CauseRefused: the worker refused the request and it was not retried.
	CauseRefused
	// CauseUnknown: the worker or its link failed while an attempt was open.
	CauseUnknown
	// CauseCancelled: the caller disconnected.
	CauseCancelled
	// CauseDraining: this entry is stopping.
	CauseDraining
)

// String returns the cause as an error code.
func (c Cause) String() string {
	switch c {
	case CauseNoTarget:
		return "no_target"
	case CauseQueueFull:
		return "queue_full"
	case CauseDeadline:
		return "deadline_exceeded"
	case CauseBudget:
		return "retry_budget_exhausted"
	case CauseRefused:
		return "refused"
	case CauseUnknown:
		return "outcome_unknown"
	case CauseCancelled:
		return "cancelled"
	case CauseDraining:
		return "draining"
	default:
		return "none"
	}
}

// Result is the result that the callers of a request get.
type Result struct {
	// Outcome is OutcomeAnswered, OutcomeNotRun (certain) or OutcomeUnknown.
	Outcome wire.Outcome
	Cause   Cause
	// Reason is the worker's reason if Cause is CauseRefused.
	Reason     wire.NotRunReason
	Worker     string
	Attempt    uint32
	RetryAfter time.Duration
	// Reply is the target's answer if Outcome is OutcomeAnswered.
	Reply *wire.RequestReply
}
