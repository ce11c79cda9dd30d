package task

import (
	"fmt"
	"time"
)

const (
	// quarantineWorkers is the number of distinct workers on which a batch task fails before it is
	// quarantined.
	quarantineWorkers = 3
	// maxFailures is the number of most recent failures that a record keeps.
	maxFailures = 8
	// maxResultBytes is the largest result that a record keeps.
	maxResultBytes = 4 << 10
)

// Origin identifies the attempt, the worker and the session that an event comes from.
type Origin struct {
	Worker  string
	Attempt uint32
	Session Session
}

// checkOrigin returns the error for an event that does not match the recorded assignment.
func (r *Record) checkOrigin(origin Origin) error {
	switch {
	case origin.Attempt != r.Attempt:
		return ErrStaleAttempt
	case !r.HasAssignment():
		return ErrWrongState
	case origin.Worker != r.Worker:
		return ErrWrongWorker
	case origin.Session.BootID != r.Session.BootID:
		return ErrWrongSession
	default:
		return nil
	}
}

// CheckOrigin returns nil if an event of the origin matches the recorded assignment, or else
// ErrStaleAttempt, ErrWrongState, ErrWrongWorker or ErrWrongSession.
func (r *Record) CheckOrigin(origin Origin) error { return r.checkOrigin(origin) }

// Started records that the attempt runs. A task that is being evicted or cancelled keeps that state.
func (r *Record) Started(origin Origin, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	if !r.StartedAt.IsZero() {
		return ErrWrongState
	}
	r.StartedAt, r.UpdatedAt = now, now
	if r.State == StateAssigned {
		r.setState(StateRunning, "started on "+r.Worker, now)
	}
	return nil
}

// Finished records that the attempt succeeded. A watch or service replica is restarted, unless it is
// being cancelled.
func (r *Record) Finished(origin Origin, result []byte, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	if r.Spec.Kind != KindBatch {
		return r.restartOrCancel("ended by itself", now)
	}
	r.Result = result[:min(len(result), maxResultBytes)]
	r.clearAssignment()
	r.setState(StateFinished, "finished", now)
	return nil
}

// Failed records a failed attempt. A batch task is retried, on other workers, until it has failed on
// quarantineWorkers distinct workers; a watch or service replica is always restarted. A cancelling task
// is cancelled instead.
func (r *Record) Failed(origin Origin, reason string, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	r.Failures = append(r.Failures, Failure{Worker: r.Worker, Attempt: r.Attempt, Reason: reason, At: now})
	if len(r.Failures) > maxFailures {
		r.Failures = r.Failures[len(r.Failures)-maxFailures:]
	}
	if r.Spec.Kind == KindBatch && r.State != StateCancelling && r.FailedWorkers() >= quarantineWorkers {
		r.clearAssignment()
		r.setState(StateQuarantined, fmt.Sprintf("failed on %d distinct workers: %s", quarantineWorkers, reason), now)
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

// Evicted records that the attempt checkpointed and stopped, whether or not an eviction was requested.
// The next attempt resumes from the checkpoint. Without a checkpoint, Evicted has the effect of Stopped.
func (r *Record) Evicted(origin Origin, checkpoint string, progressPermille int, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	if r.State == StateCancelling {
		r.setFinal(StateCancelled, "cancelled", now)
		return nil
	}
	if checkpoint == "" {
		return r.Stopped(origin, now)
	}
	r.Checkpoint, r.CheckpointPermille = checkpoint, progressPermille
	r.Evictions++
	r.makePending("evicted from "+r.Worker, now)
	return nil
}

// Stopped records that the attempt stopped without a checkpoint. The event does not include whether the
// attempt ran, so the state of a non-idempotent task becomes StateUnknown, unless it was cancelling.
func (r *Record) Stopped(origin Origin, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	switch {
	case r.State == StateCancelling:
		r.setFinal(StateCancelled, "cancelled", now)
	case r.Spec.NonIdempotent:
		r.setFinal(StateUnknown, "stopped without a checkpoint on "+r.Worker, now)
	default:
		r.Evictions++
		r.makePending("stopped on "+r.Worker, now)
	}
	return nil
}

// Refused records that the worker refused the attempt, which will never start. The task becomes pending
// and can be assigned again after refusalDelay.
func (r *Record) Refused(origin Origin, reason string, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	if !r.StartedAt.IsZero() {
		return ErrWrongState
	}
	if r.State == StateCancelling {
		r.setFinal(StateCancelled, "cancelled before the start", now)
		return nil
	}
	r.makePending("refused by "+r.Worker+": "+reason, now)
	r.NotBefore = now.Add(refusalDelay)
	return nil
}

// WorkerLost records that the worker was lost and the attempt is certain not to run any more, without a
// report of its outcome. The state of a non-idempotent task that has or may have started becomes
// StateUnknown. Any other task is cancelled if it was cancelling, or else resumes from its checkpoint.
func (r *Record) WorkerLost(origin Origin, mayHaveStarted bool, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	started := mayHaveStarted || !r.StartedAt.IsZero()
	switch {
	case r.Spec.NonIdempotent && started:
		r.setFinal(StateUnknown, "worker "+r.Worker+" was lost after the start", now)
	case r.State == StateCancelling:
		r.setFinal(StateCancelled, "cancelled; worker "+r.Worker+" was lost", now)
	default:
		r.Evictions++
		r.makePending("worker "+r.Worker+" was lost", now)
	}
	return nil
}

// SessionAdopted records that a newer session of the same boot has taken over the running attempt. It
// returns ErrWrongSession if the session is not newer than the recorded one.
func (r *Record) SessionAdopted(origin Origin, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
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
		r.setState(StateRunning, "adopted by a new session of "+r.Worker, now)
	}
	return nil
}

// restartOrCancel cancels a cancelling task and makes any other pending with an exponential delay.
func (r *Record) restartOrCancel(reason string, now time.Time) error {
	if r.State == StateCancelling {
		r.setFinal(StateCancelled, "cancelled; "+reason, now)
		return nil
	}
	if !r.StartedAt.IsZero() && now.Sub(r.StartedAt) >= stableRunTime {
		r.Restarts = 0
	}
	r.Restarts++
	r.makePending(reason, now)
	r.NotBefore = now.Add(exponentialDelay(firstRestartDelay, maxRestartDelay, r.Restarts))
	return nil
}

func (r *Record) makePending(reason string, now time.Time) {
	r.clearAssignment()
	r.setState(StatePending, reason, now)
}

func (r *Record) setFinal(state State, reason string, now time.Time) {
	r.clearAssignment()
	r.setState(state, reason, now)
}

// clearAssignment removes the assignment. It keeps Attempt, so that a repeated event gets ErrWrongState.
func (r *Record) clearAssignment() {
	r.Worker, r.Session = "", Session{}
	r.StartedAt, r.NotBefore = time.Time{}, time.Time{}
}

func (r *Record) setState(state State, reason string, now time.Time) {
	r.State, r.Reason, r.UpdatedAt = state, reason, now
}
