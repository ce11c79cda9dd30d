// Package exchange implements the lifecycle of one request at an entry as a state machine that turns
// events into actions. It uses no clock and no I/O. It guarantees that a request is answered at most
// once, that "not run" is reported only if it is certain, and that a non-idempotent request is sent
// again only after a certain "not run".
package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

// Timing of a request.
const (
	// OutcomeGrace is how long after the deadline the entry waits for the outcome from the worker.
	OutcomeGrace = 250 * time.Millisecond
	// ReconnectTimeout is how long an idempotent request waits for the worker to reconnect after its link was
	// lost. Then the request is sent to another worker.
	ReconnectTimeout = 300 * time.Millisecond
)

// Spec holds the properties of a request that do not change during its lifecycle.
type Spec struct {
	Idempotent bool
	Deadline   time.Time
	// PreviousAttempt is the highest attempt number already used for the id, 0 for a new id.
	PreviousAttempt uint32
}

// state is the state of a request.
type state uint8

const (
	// stateChoosing waits for WorkerChosen or NoWorker.
	stateChoosing state = iota + 1
	// stateSent waits for the worker's reply.
	stateSent
	// stateUnconfirmed waits for the outcome of an attempt after the link was lost or the deadline passed.
	stateUnconfirmed
	// stateFinished has the result.
	stateFinished
)

// Exchange is the state of one request.
type Exchange struct {
	spec    Spec
	state   state
	attempt uint32
	// worker and incarnation received the current attempt.
	worker, incarnation string
	// attemptOpen is set while the current attempt is at the worker and its outcome is not known. It stays set
	// while another worker is chosen for an idempotent request whose link was lost.
	attemptOpen bool
	// mayHaveRun is set if the outcome of an earlier attempt is unknown, so that "not run" is no longer
	// certain.
	mayHaveRun bool
	// callersLeft is set after all callers have disconnected.
	callersLeft bool
	// deadlinePassed is set after the deadline has passed while an attempt was open.
	deadlinePassed bool
	// reconnectUntil is when an idempotent request whose link was lost is sent to another worker; zero if
	// it is not waiting for the worker to reconnect.
	reconnectUntil time.Time
}

// New returns a request that waits for a worker, and its first action.
func New(spec Spec) (*Exchange, []Action) {
	e := &Exchange{spec: spec, state: stateChoosing, attempt: spec.PreviousAttempt}
	return e, []Action{ChooseWorker{}}
}

// Attempt returns the number of the current attempt, or Spec.PreviousAttempt before the first one.
func (e *Exchange) Attempt() uint32 { return e.attempt }

// Finished reports whether the request has its result; it then ignores all events.
func (e *Exchange) Finished() bool { return e.state == stateFinished }

// Idempotent reports whether the request may run more than once.
func (e *Exchange) Idempotent() bool { return e.spec.Idempotent }

// IsOpenAt reports whether the current attempt is at the worker and its outcome is not known.
func (e *Exchange) IsOpenAt(worker string) bool { return e.attemptOpen && e.worker == worker }

// NextWake returns when the next Tick is due.
func (e *Exchange) NextWake() time.Time {
	switch {
	case e.deadlinePassed:
		return e.spec.Deadline.Add(OutcomeGrace)
	case !e.reconnectUntil.IsZero() && e.reconnectUntil.Before(e.spec.Deadline):
		return e.reconnectUntil
	default:
		return e.spec.Deadline
	}
}

// Step handles an event and returns the actions to perform, in order. Events that no longer concern the
// request have no effect.
func (e *Exchange) Step(now time.Time, event Event) []Action {
	if e.state == stateFinished {
		return nil
	}
	switch event := event.(type) {
	case WorkerChosen:
		return e.handleChosen(now, event)
	case NoWorker:
		return e.handleNoWorker(event)
	case SendFailed:
		return e.handleSendFailed(now, event)
	case ReplyReceived:
		return e.handleReplied(now, event)
	case LinkLost:
		return e.handleLinkLost(now, event)
	case WorkerConnected:
		return e.handleConnected(now, event)
	case Tick:
		return e.handleTick(now)
	case CallersGone:
		return e.handleCallersGone()
	default:
		return nil
	}
}

// endAttemptNotRun ends an attempt that certainly did not run. The request is retried at another worker if
// it may still be sent and the reason allows it.
func (e *Exchange) endAttemptNotRun(now time.Time, reason wire.NotRunReason) []Action {
	actions := []Action{e.releaseAttempt(wire.OutcomeNotRun, reason, 0)}
	if !e.mayRetry(now) || !isRetryable(reason) {
		actions = append(e.withdrawChoose(), actions...)
		return append(actions, e.finishNotRun(causeOf(reason, e.deadlinePassed), reason, 0)...)
	}
	return append(actions, e.chooseForRetry()...)
}

// endAttemptUnknown ends an attempt that may have run. Only an idempotent request is retried.
func (e *Exchange) endAttemptUnknown(now time.Time) []Action {
	actions := []Action{e.releaseAttempt(wire.OutcomeUnknown, wire.NotRunNone, 0)}
	e.mayHaveRun = true
	if e.spec.Idempotent && e.mayRetry(now) {
		return append(actions, e.chooseForRetry()...)
	}
	actions = append(e.withdrawChoose(), actions...)
	return append(actions, e.finish(Result{Outcome: wire.OutcomeUnknown, Cause: CauseUnknown}))
}

// mayRetry reports whether the request may be retried: a caller still waits and the deadline has
// not passed.
func (e *Exchange) mayRetry(now time.Time) bool {
	return !e.callersLeft && !e.deadlinePassed && now.Before(e.spec.Deadline)
}

// isRetryable reports whether another worker may accept a request that was refused for the reason.
func isRetryable(reason wire.NotRunReason) bool {
	switch reason {
	case wire.NotRunDeadline, wire.NotRunCancelled, wire.NotRunInvalid:
		return false
	default:
		return true
	}
}

// causeOf returns the cause to report to callers for a worker's refusal.
func causeOf(reason wire.NotRunReason, deadlinePassed bool) Cause {
	switch {
	case deadlinePassed || reason == wire.NotRunDeadline:
		return CauseDeadline
	case reason == wire.NotRunCancelled:
		return CauseCancelled
	default:
		return CauseRefused
	}
}

// chooseForRetry requests another worker, unless a ChooseWorker is already pending.
func (e *Exchange) chooseForRetry() []Action {
	e.reconnectUntil = time.Time{}
	if e.state == stateChoosing {
		return nil
	}
	e.state = stateChoosing
	return []Action{ChooseWorker{Retry: true}}
}

// withdrawChoose withdraws an unanswered ChooseWorker.
func (e *Exchange) withdrawChoose() []Action {
	if e.state != stateChoosing {
		return nil
	}
	e.state = stateUnconfirmed
	return []Action{CancelChoice{}}
}

// releaseAttempt marks the current attempt as ended and returns its Release.
func (e *Exchange) releaseAttempt(outcome wire.Outcome, reason wire.NotRunReason, status int) Action {
	e.attemptOpen = false
	return Release{Worker: e.worker, Outcome: outcome, Reason: reason, Status: status}
}

// finishNotRun finishes the request as "not run", or as unknown if an earlier attempt may have run.
func (e *Exchange) finishNotRun(cause Cause, reason wire.NotRunReason, retryAfter time.Duration) []Action {
	result := Result{Outcome: wire.OutcomeNotRun, Cause: cause, Reason: reason, RetryAfter: retryAfter}
	if e.mayHaveRun {
		result.Outcome = wire.OutcomeUnknown
	}
	return []Action{e.finish(result)}
}

// finish ends the request and returns its Finish. It is called once.
func (e *Exchange) finish(result Result) Action {
	e.state = stateFinished
	result.Worker, result.Attempt = e.worker, e.attempt
	return Finish{Result: result}
}
