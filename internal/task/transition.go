package task

import (
	"fmt"
	"time"
)

const (
	// quarantineWorkers is the number of distinct workers on which a batch task may fail.
	quarantineWorkers = 3
	// maxFailures bounds the failures kept for a task that is always restarted.
	maxFailures = 8
	// maxResultBytes is the largest result that a record keeps.
	maxResultBytes = 4 << 10
)

// Origin says which attempt on which worker an event comes from.
type Origin struct {
	Worker  string
	Attempt uint32
	Session Session
}

// New returns a pending record of a valid specification.
func New(spec Spec, requestID string, now time.Time) *Record {
	return &Record{
		ID: spec.ID(), Spec: spec, State: StatePending, RequestID: requestID,
		CreatedAt: now, UpdatedAt: now, Reason: "submitted",
	}
}

// Recreate returns a pending record of the specification that replaces a final record. The attempt
// number continues, because agents refuse attempts at or below a tombstone.
func Recreate(previous *Record, spec Spec, requestID string, now time.Time) (*Record, error) {
	if !previous.IsFinal() {
		return nil, ErrWrongState
	}
	record := New(spec, requestID, now)
	record.Attempt = previous.Attempt
	return record, nil
}

// check returns the error for an event that does not match the recorded assignment.
func (r *Record) check(origin Origin) error {
	switch {
	case origin.Attempt != r.Attempt:
		return ErrStaleAttempt
	case !r.HoldsWorker():
		return ErrWrongState
	case origin.Worker != r.Worker:
		return ErrWrongWorker
	case origin.Session.BootID != r.Session.BootID:
		return ErrWrongSession
	default:
		return nil
	}
}

// Check returns nil if an event of the origin matches the recorded assignment, or else
// ErrStaleAttempt, ErrWrongState, ErrWrongWorker or ErrWrongSession.
func (r *Record) Check(origin Origin) error { return r.check(origin) }

// Assign records an assignment of a pending task under the next attempt number. It returns
// ErrWrongState or ErrTooEarly.
func (r *Record) Assign(worker string, session Session, reason string, now time.Time) error {
	if r.State != StatePending {
		return ErrWrongState
	}
	if now.Before(r.NotBefore) {
		return ErrTooEarly
	}
	r.Attempt++
	r.Worker, r.Session = worker, session
	r.StartedAt, r.NotBefore = time.Time{}, time.Time{}
	r.set(StateAssigned, reason, now)
	return nil
}

// Started records that the attempt runs. A task that is being evicted or cancelled stays so.
func (r *Record) Started(origin Origin, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if !r.StartedAt.IsZero() {
		return ErrWrongState
	}
	r.StartedAt, r.UpdatedAt = now, now
	if r.State == StateAssigned {
		r.set(StateRunning, "started on "+r.Worker, now)
	}
	return nil
}

// Finished records success. A watch or service replica is restarted unless it was cancelled.
func (r *Record) Finished(origin Origin, result []byte, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if r.Spec.Kind != KindBatch {
		return r.restartOrCancel("ended by itself", now)
	}
	r.Result = result[:min(len(result), maxResultBytes)]
	r.release()
	r.set(StateFinished, "finished", now)
	return nil
}

// Failed records a failed attempt: a batch task is retried on another worker until it has failed
// on three distinct workers, a watch or service replica is always restarted.
func (r *Record) Failed(origin Origin, reason string, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	r.Failures = append(r.Failures, Failure{Worker: r.Worker, Attempt: r.Attempt, Reason: reason, At: now})
	if len(r.Failures) > maxFailures {
		r.Failures = r.Failures[len(r.Failures)-maxFailures:]
	}
	if r.Spec.Kind == KindBatch && r.State != StateCancelling && r.FailedWorkers() >= quarantineWorkers {
		r.release()
		r.set(StateQuarantined, fmt.Sprintf("failed on %d distinct workers: %s", quarantineWorkers, reason), now)
		return nil
	}
	return r.restartOrCancel("failed: "+reason, now)
}

// FailedWorkers returns the number of distinct workers in Failures.
func (r *Record) FailedWorkers() int {
	workers := make(map[string]struct{}, len(r.Failures))
	for _, failure := range r.Failures {
		workers[failure.Worker] = struct{}{}
	}
	return len(workers)
}

// Evicted records a checkpoint and stop, requested or not; the task resumes with the next attempt.
// Without a checkpoint it has the effect of Stopped.
func (r *Record) Evicted(origin Origin, checkpoint string, progressPermille int, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if r.State == StateCancelling {
		r.end(StateCancelled, "cancelled", now)
		return nil
	}
	if checkpoint == "" {
		return r.Stopped(origin, now)
	}
	r.Checkpoint, r.CheckpointPermille = checkpoint, progressPermille
	r.Evictions++
	r.pend("evicted from "+r.Worker, now)
	return nil
}

// Stopped records a stop without a checkpoint. The event does not tell whether the attempt ran, so
// a non-idempotent task becomes unknown.
func (r *Record) Stopped(origin Origin, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	switch {
	case r.State == StateCancelling:
		r.end(StateCancelled, "cancelled", now)
	case r.Spec.NonIdempotent:
		r.end(StateUnknown, "stopped without a checkpoint on "+r.Worker, now)
	default:
		r.Evictions++
		r.pend("stopped on "+r.Worker, now)
	}
	return nil
}

// Refused records that the attempt did not start and never will; the task is pending again after a
// short delay.
func (r *Record) Refused(origin Origin, reason string, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if !r.StartedAt.IsZero() {
		return ErrWrongState
	}
	if r.State == StateCancelling {
		r.end(StateCancelled, "cancelled before the start", now)
		return nil
	}
	r.pend("refused by "+r.Worker+": "+reason, now)
	r.NotBefore = now.Add(refusalDelay)
	return nil
}

// EvictRequested records that the attempt was asked to checkpoint and stop.
func (r *Record) EvictRequested(origin Origin, reason string, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if r.State != StateAssigned && r.State != StateRunning {
		return ErrWrongState
	}
	r.set(StateEvicting, reason, now)
	return nil
}

// CancelRequested cancels a pending task at once and marks one with an assignment for a stop. It
// has no effect on a cancelling or cancelled task, and returns ErrWrongState for other final states.
func (r *Record) CancelRequested(now time.Time) error {
	switch r.State {
	case StatePending:
		r.end(StateCancelled, "cancelled while pending", now)
	case StateAssigned, StateRunning, StateEvicting:
		r.set(StateCancelling, "cancel requested", now)
	case StateCancelling, StateCancelled:
	default:
		return ErrWrongState
	}
	return nil
}

// WorkerLost records that the attempt certainly runs no longer and left no report. A non-idempotent
// task that started or may have started becomes unknown; any other resumes from its checkpoint.
func (r *Record) WorkerLost(origin Origin, mayHaveStarted bool, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	ran := mayHaveStarted || !r.StartedAt.IsZero()
	switch {
	case r.Spec.NonIdempotent && ran:
		r.end(StateUnknown, "worker "+r.Worker+" was lost after the start", now)
	case r.State == StateCancelling:
		r.end(StateCancelled, "cancelled; worker "+r.Worker+" was lost", now)
	default:
		r.Evictions++
		r.pend("worker "+r.Worker+" was lost", now)
	}
	return nil
}

// SessionAdopted records that a newer session of the same boot holds the running attempt.
func (r *Record) SessionAdopted(origin Origin, now time.Time) error {
	if err := r.check(origin); err != nil {
		return err
	}
	if origin.Session.Number <= r.Session.Number {
		return ErrWrongSession
	}
	r.Session, r.UpdatedAt = origin.Session, now
	if r.StartedAt.IsZero() {
		r.StartedAt = now
	}
	if r.State == StateAssigned {
		r.set(StateRunning, "adopted by a new session of "+r.Worker, now)
	}
	return nil
}

// restartOrCancel ends a cancelling task and makes any other pending after a growing delay.
func (r *Record) restartOrCancel(reason string, now time.Time) error {
	if r.State == StateCancelling {
		r.end(StateCancelled, "cancelled; "+reason, now)
		return nil
	}
	if !r.StartedAt.IsZero() && now.Sub(r.StartedAt) >= stableRunTime {
		r.Restarts = 0
	}
	r.Restarts++
	r.pend(reason, now)
	r.NotBefore = now.Add(doubled(firstRestartDelay, maxRestartDelay, r.Restarts))
	return nil
}

func (r *Record) pend(reason string, now time.Time) {
	r.release()
	r.set(StatePending, reason, now)
}

func (r *Record) end(state State, reason string, now time.Time) {
	r.release()
	r.set(state, reason, now)
}

// release drops the assignment; Attempt stays, so that a repeated event finds another state.
func (r *Record) release() {
	r.Worker, r.Session = "", Session{}
	r.StartedAt, r.NotBefore = time.Time{}, time.Time{}
}

func (r *Record) set(state State, reason string, now time.Time) {
	r.State, r.Reason, r.UpdatedAt = state, reason, now
}
