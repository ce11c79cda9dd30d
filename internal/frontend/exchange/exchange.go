// Package exchange is the lifecycle of one request at an entry: events in, actions out. It uses no
// clock and no I/O, and it guarantees that a request is answered at most once, that "not run" is said
// only if it is certain, and that a non-idempotent request is sent again only after a certain "not run".
package exchange

import (
	"time"

	"clementineflow/internal/wire"
)

// Timing of a request.
const (
	// Grace bounds the time after the deadline in which the entry asks for the outcome.
	Grace = 250 * time.Millisecond
	// Patience is how long an idempotent request waits for a lost link before it is sent elsewhere.
	Patience = 300 * time.Millisecond
)

// Spec is the fixed part of a request.
type Spec struct {
	Idempotent bool
	Deadline   time.Time
	// PreviousAttempt is the highest attempt number used for the id before, 0 for a new id.
	PreviousAttempt uint32
}

// state is the state of a request.
type state uint8

const (
	// choosing waits for Chosen or NoWorker.
	choosing state = iota + 1
	// sent waits for the worker's reply.
	sent
	// doubtful has lost the link to the worker, or asks it for the outcome.
	doubtful
	finished
)

// Exchange is the state of one request.
type Exchange struct {
	spec    Spec
	state   state
	attempt uint32
	// worker and incarnation received the current attempt.
	worker, incarnation string
	// out says that the current attempt is at the worker and its outcome is open. It stays set while
	// an idempotent request that lost its link looks for another worker.
	out bool
	// mayHaveRun says that the outcome of an earlier attempt is unknown, so that "not run" is no
	// longer certain.
	mayHaveRun bool
	gone       bool
	expired    bool
	// patienceEnds is when a doubtful idempotent request is sent elsewhere; zero if it is not.
	patienceEnds time.Time
}

// New returns a request and its first action.
func New(spec Spec) (*Exchange, []Action) {
	e := &Exchange{spec: spec, state: choosing, attempt: spec.PreviousAttempt}
	return e, []Action{Choose{}}
}

// Attempt returns the number of the current attempt.
func (e *Exchange) Attempt() uint32 { return e.attempt }

// Finished reports whether the result was given.
func (e *Exchange) Finished() bool { return e.state == finished }

// Idempotent reports whether the request may run more than once.
func (e *Exchange) Idempotent() bool { return e.spec.Idempotent }

// At reports whether the current attempt is at the worker.
func (e *Exchange) At(worker string) bool { return e.out && e.worker == worker }

// NextWake returns when the next Tick is due.
func (e *Exchange) NextWake() time.Time {
	switch {
	case e.expired:
		return e.spec.Deadline.Add(Grace)
	case !e.patienceEnds.IsZero() && e.patienceEnds.Before(e.spec.Deadline):
		return e.patienceEnds
	default:
		return e.spec.Deadline
	}
}

// Step handles an event. Events that no longer concern the request have no effect.
func (e *Exchange) Step(now time.Time, event Event) []Action {
	if e.state == finished {
		return nil
	}
	switch event := event.(type) {
	case Chosen:
		return e.chosen(now, event)
	case NoWorker:
		return e.noWorker(event)
	case SendFailed:
		return e.sendFailed(now, event)
	case Replied:
		return e.replied(now, event)
	case LinkLost:
		return e.linkLost(now, event)
	case Connected:
		return e.connected(now, event)
	case Tick:
		return e.tick(now)
	case CallerGone:
		return e.callerGone()
	default:
		return nil
	}
}

// chosen starts an attempt.
func (e *Exchange) chosen(now time.Time, event Chosen) []Action {
	if e.state != choosing {
		return nil
	}
	if !now.Before(e.spec.Deadline) {
		return e.tick(now)
	}
	var actions []Action
	if e.out {
		e.mayHaveRun = true
		actions = append(actions, e.release(wire.OutcomeUnknown, wire.NotRunNone, 0))
	}
	e.attempt++
	e.worker, e.incarnation = event.Worker, event.Incarnation
	e.state, e.out = sent, true
	return append(actions, Send{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
}

// noWorker ends the search for a worker. If the current attempt is still open its outcome is awaited.
func (e *Exchange) noWorker(event NoWorker) []Action {
	if e.state != choosing {
		return nil
	}
	if e.out {
		e.state = doubtful
		return nil
	}
	return e.notRun(event.Cause, wire.NotRunNone, event.RetryAfter)
}

// sendFailed ends an attempt that certainly did not run.
func (e *Exchange) sendFailed(now time.Time, event SendFailed) []Action {
	if !e.out || event.Attempt != e.attempt {
		return nil
	}
	return e.attemptNotRun(now, wire.NotRunNeverSeen)
}

// replied handles a reply to the current attempt; any other reply is dropped.
func (e *Exchange) replied(now time.Time, event Replied) []Action {
	reply := event.Reply
	if !e.out || event.Worker != e.worker || reply.Attempt != e.attempt {
		return nil
	}
	switch reply.Outcome {
	case wire.OutcomeAnswered:
		actions := e.abandon()
		actions = append(actions, e.release(reply.Outcome, wire.NotRunNone, reply.Status))
		return append(actions, e.finish(Result{Outcome: wire.OutcomeAnswered, Reply: reply}))
	case wire.OutcomeNotRun:
		return e.attemptNotRun(now, reply.Reason)
	case wire.OutcomeRunning:
		return e.running()
	default:
		return e.attemptUnknown(now)
	}
}

// running notes that the attempt is in progress at a worker that can be reached.
func (e *Exchange) running() []Action {
	if e.expired {
		return nil
	}
	actions := e.abandon()
	e.state, e.patienceEnds = sent, time.Time{}
	return actions
}

// attemptNotRun ends an attempt that certainly did not run, and sends the request elsewhere if that
// may help.
func (e *Exchange) attemptNotRun(now time.Time, reason wire.NotRunReason) []Action {
	actions := []Action{e.release(wire.OutcomeNotRun, reason, 0)}
	if !e.mayGoElsewhere(now) || !helpsElsewhere(reason) {
		actions = append(e.abandon(), actions...)
		return append(actions, e.notRun(causeOf(reason, e.expired), reason, 0)...)
	}
	return append(actions, e.chooseAgain()...)
}

// attemptUnknown ends an attempt that may have run. Only an idempotent request is sent elsewhere.
func (e *Exchange) attemptUnknown(now time.Time) []Action {
	actions := []Action{e.release(wire.OutcomeUnknown, wire.NotRunNone, 0)}
	e.mayHaveRun = true
	if e.spec.Idempotent && e.mayGoElsewhere(now) {
		return append(actions, e.chooseAgain()...)
	}
	actions = append(e.abandon(), actions...)
	return append(actions, e.finish(Result{Outcome: wire.OutcomeUnknown, Cause: CauseUnknown}))
}

// mayGoElsewhere reports whether the request is still wanted and in time.
func (e *Exchange) mayGoElsewhere(now time.Time) bool {
	return !e.gone && !e.expired && now.Before(e.spec.Deadline)
}

// helpsElsewhere reports whether another worker may accept what one refused for the reason.
func helpsElsewhere(reason wire.NotRunReason) bool {
	switch reason {
	case wire.NotRunDeadline, wire.NotRunCancelled, wire.NotRunInvalid:
		return false
	default:
		return true
	}
}

// causeOf returns the cause that callers are told for a worker's refusal.
func causeOf(reason wire.NotRunReason, expired bool) Cause {
	switch {
	case expired || reason == wire.NotRunDeadline:
		return CauseDeadline
	case reason == wire.NotRunCancelled:
		return CauseCancelled
	default:
		return CauseRefused
	}
}

// chooseAgain looks for another worker; a search that is under way goes on.
func (e *Exchange) chooseAgain() []Action {
	e.patienceEnds = time.Time{}
	if e.state == choosing {
		return nil
	}
	e.state = choosing
	return []Action{Choose{Retry: true}}
}

// linkLost makes the outcome of the current attempt doubtful.
func (e *Exchange) linkLost(now time.Time, event LinkLost) []Action {
	if !e.out || e.state != sent || event.Worker != e.worker || event.Incarnation != e.incarnation {
		return nil
	}
	e.state = doubtful
	if e.spec.Idempotent && e.mayGoElsewhere(now) {
		e.patienceEnds = now.Add(Patience)
	}
	return nil
}

// connected asks the worker for the outcome. Another incarnation cannot know it.
func (e *Exchange) connected(now time.Time, event Connected) []Action {
	if !e.out || event.Worker != e.worker {
		return nil
	}
	if event.Incarnation != e.incarnation {
		return e.attemptUnknown(now)
	}
	return []Action{Query{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt}}
}

// tick handles the end of the patience, the deadline and the grace.
func (e *Exchange) tick(now time.Time) []Action {
	switch {
	case e.expired && !now.Before(e.spec.Deadline.Add(Grace)):
		e.mayHaveRun = true
		return []Action{
			e.release(wire.OutcomeUnknown, wire.NotRunNone, 0),
			e.finish(Result{Outcome: wire.OutcomeUnknown, Cause: CauseDeadline}),
		}
	case e.expired:
		return nil
	case !now.Before(e.spec.Deadline):
		return e.deadline()
	case !e.patienceEnds.IsZero() && !now.Before(e.patienceEnds):
		return e.chooseAgain()
	default:
		return nil
	}
}

// deadline ends the request, or asks for the outcome of the attempt that is out.
func (e *Exchange) deadline() []Action {
	actions := e.abandon()
	if !e.out {
		return append(actions, e.notRun(CauseDeadline, wire.NotRunDeadline, 0)...)
	}
	e.expired, e.state, e.patienceEnds = true, doubtful, time.Time{}
	return append(actions,
		Cancel{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt},
		Query{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
}

// callerGone cancels the request unless it has started. Its outcome is still awaited, for a caller
// that repeats the request.
func (e *Exchange) callerGone() []Action {
	if e.gone {
		return nil
	}
	e.gone, e.patienceEnds = true, time.Time{}
	actions := e.abandon()
	if !e.out {
		return append(actions, e.notRun(CauseCancelled, wire.NotRunCancelled, 0)...)
	}
	return append(actions, Cancel{Worker: e.worker, Incarnation: e.incarnation, Attempt: e.attempt})
}

// abandon withdraws an unanswered Choose.
func (e *Exchange) abandon() []Action {
	if e.state != choosing {
		return nil
	}
	e.state = doubtful
	return []Action{Abandon{}}
}

// release ends the current attempt.
func (e *Exchange) release(outcome wire.Outcome, reason wire.NotRunReason, status int) Action {
	e.out = false
	return Release{Worker: e.worker, Outcome: outcome, Reason: reason, Status: status}
}

// notRun finishes as "not run", or as unknown if an earlier attempt may have run.
func (e *Exchange) notRun(cause Cause, reason wire.NotRunReason, retryAfter time.Duration) []Action {
	result := Result{Outcome: wire.OutcomeNotRun, Cause: cause, Reason: reason, RetryAfter: retryAfter}
	if e.mayHaveRun {
		result.Outcome = wire.OutcomeUnknown
	}
	return []Action{e.finish(result)}
}

// finish gives the result, once.
func (e *Exchange) finish(result Result) Action {
	e.state = finished
	result.Worker, result.Attempt = e.worker, e.attempt
	return Finish{Result: result}
}
