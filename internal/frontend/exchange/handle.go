package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

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
