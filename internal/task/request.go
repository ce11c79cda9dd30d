package task

import "time"

// New returns a pending record for a specification, which it does not validate.
func New(spec Spec, requestID string, now time.Time) *Record {
	return &Record{
		ID: spec.ID(), Spec: spec, State: StatePending, RequestID: requestID,
		CreatedAt: now, UpdatedAt: now, Reason: "submitted",
	}
}

// Recreate returns a pending record of the specification that replaces a final record, or ErrWrongState
// if the previous record is not final. The attempt number continues from that record, because agents
// refuse attempts at or below a tombstone.
func Recreate(previous *Record, spec Spec, requestID string, now time.Time) (*Record, error) {
	if !previous.IsFinal() {
		return nil, ErrWrongState
	}
	record := New(spec, requestID, now)
	record.Attempt = previous.Attempt
	return record, nil
}

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
	r.setState(StateAssigned, reason, now)
	return nil
}

// EvictRequested records that the attempt was asked to checkpoint and stop. It returns ErrWrongState
// unless the task is assigned or running.
func (r *Record) EvictRequested(origin Origin, reason string, now time.Time) error {
	if err := r.checkOrigin(origin); err != nil {
		return err
	}
	if r.State != StateAssigned && r.State != StateRunning {
		return ErrWrongState
	}
	r.setState(StateEvicting, reason, now)
	return nil
}

// CancelRequested cancels a pending task at once; a task with an assignment becomes cancelling until its
// attempt has ended. It has no effect on a cancelling or cancelled task, and returns ErrWrongState for
// other final states.
func (r *Record) CancelRequested(now time.Time) error {
	switch r.State {
	case StatePending:
		r.setFinal(StateCancelled, "cancelled while pending", now)
	case StateAssigned, StateRunning, StateEvicting:
		r.setState(StateCancelling, "cancel requested", now)
	case StateCancelling, StateCancelled:
	default:
		return ErrWrongState
	}
	return nil
}
