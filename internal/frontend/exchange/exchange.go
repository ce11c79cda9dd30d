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

// handleChosen starts an attempt.
func (e *Exchange) handleChosen(now time.Time, event WorkerChosen) []Action {
	if e.state != stateChoosing {
		return nil
	}
	if !now.Before(e.spec.Deadline) {
		return e.handleTick(now)
	}
	var actions []Action
	if e.attemptOpen {
		e.mayHaveRun = true
		actions = append(actions, e.releaseAttempt(wire.OutcomeUnknown, wire.NotRunNone, 0))
	}
	e.attempt++
	e.worker, e.incarnation = event.Worker, event.Incarnation
	e.state, e.attemptOpen = stateSent, true
	return append(actions, Send{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
}

// handleNoWorker handles a failed choice of a worker: the request ends as "not run", unless the current attempt
// is still open, whose outcome is then awaited.
func (e *Exchange) handleNoWorker(event NoWorker) []Action {
	if e.state != stateChoosing {
		return nil
	}
	if e.attemptOpen {
		e.state = stateUnconfirmed
		return nil
	}
	return e.finishNotRun(event.Cause, wire.NotRunNone, event.RetryAfter)
}

// handleSendFailed ends an attempt whose message was not delivered, so that it certainly did not run.
func (e *Exchange) handleSendFailed(now time.Time, event SendFailed) []Action {
	if !e.attemptOpen || event.Attempt != e.attempt {
		return nil
	}
	return e.endAttemptNotRun(now, wire.NotRunNotReceived)
}

// handleReplied handles a reply to the current attempt; any other reply is dropped.
func (e *Exchange) handleReplied(now time.Time, event ReplyReceived) []Action {
	reply := event.Reply
	if !e.attemptOpen || event.Worker != e.worker || reply.Attempt != e.attempt {
		return nil
	}
	switch reply.Outcome {
	case wire.OutcomeAnswered:
		actions := e.withdrawChoose()
		actions = append(actions, e.releaseAttempt(reply.Outcome, wire.NotRunNone, reply.Status))
		return append(actions, e.finish(Result{Outcome: wire.OutcomeAnswered, Reply: reply}))
	case wire.OutcomeNotRun:
		return e.endAttemptNotRun(now, reply.Reason)
	case wire.OutcomeRunning:
		return e.handleRunning()
	default:
		return e.endAttemptUnknown(now)
	}
}

// handleRunning handles a reply that the attempt is in progress: the worker can be reached, so that no other
// worker is needed.
func (e *Exchange) handleRunning() []Action {
	if e.deadlinePassed {
		return nil
	}
	actions := e.withdrawChoose()
	e.state, e.reconnectUntil = stateSent, time.Time{}
	return actions
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

// handleLinkLost handles the loss of the link to the worker: the request waits for the worker to reconnect.
// An idempotent one is retried at another worker after ReconnectTimeout.
func (e *Exchange) handleLinkLost(now time.Time, event LinkLost) []Action {
	if !e.attemptOpen || e.state != stateSent || event.Worker != e.worker || event.Incarnation != e.incarnation {
		return nil
	}
	e.state = stateUnconfirmed
	if e.spec.Idempotent && e.mayRetry(now) {
		e.reconnectUntil = now.Add(ReconnectTimeout)
	}
	return nil
}

// handleConnected queries a reconnected worker for the outcome of the attempt. If it is another incarnation, it
// has no record of the attempt, and the outcome is unknown.
func (e *Exchange) handleConnected(now time.Time, event WorkerConnected) []Action {
	if !e.attemptOpen || event.Worker != e.worker {
		return nil
	}
	if event.Incarnation != e.incarnation {
		return e.endAttemptUnknown(now)
	}
	return []Action{Query{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt}}
}

// handleTick handles the end of the reconnect timeout, the deadline and the end of the grace period.
func (e *Exchange) handleTick(now time.Time) []Action {
	switch {
	case e.deadlinePassed && !now.Before(e.spec.Deadline.Add(OutcomeGrace)):
		e.mayHaveRun = true
		return []Action{
			e.releaseAttempt(wire.OutcomeUnknown, wire.NotRunNone, 0),
			e.finish(Result{Outcome: wire.OutcomeUnknown, Cause: CauseDeadline}),
		}
	case e.deadlinePassed:
		return nil
	case !now.Before(e.spec.Deadline):
		return e.handleDeadline()
	case !e.reconnectUntil.IsZero() && !now.Before(e.reconnectUntil):
		return e.chooseForRetry()
	default:
		return nil
	}
}

// handleDeadline handles the deadline: it ends the request, or cancels the open attempt and queries its outcome.
func (e *Exchange) handleDeadline() []Action {
	actions := e.withdrawChoose()
	if !e.attemptOpen {
		return append(actions, e.finishNotRun(CauseDeadline, wire.NotRunDeadline, 0)...)
	}
	e.deadlinePassed, e.state, e.reconnectUntil = true, stateUnconfirmed, time.Time{}
	return append(actions,
		Cancel{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt},
		Query{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
}

// handleCallersGone cancels the request unless it has started at the worker. The outcome is still awaited, for
// a caller that repeats the request.
func (e *Exchange) handleCallersGone() []Action {
	if e.callersLeft {
		return nil
	}
	e.callersLeft, e.reconnectUntil = true, time.Time{}
	actions := e.withdrawChoose()
	if !e.attemptOpen {
		return append(actions, e.finishNotRun(CauseCancelled, wire.NotRunCancelled, 0)...)
	}
	return append(actions, Cancel{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
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
