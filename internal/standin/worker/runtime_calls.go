package worker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// beginCall applies the injected faults, checks the session and updates the tasks. It returns with the
// mutex locked, also on an error; the caller must unlock it.
func (r *Runtime) beginCall(session task.Session) (time.Time, error) {
	r.waitCallDelay()
	r.mutex.Lock()
	now := time.Now()
	if r.faults.Unavailable {
		return now, errors.Wrap(runtime.ErrUnavailable, "switched off by a test")
	}
	if session != r.session {
		return now, errors.WithStack(runtime.ErrStaleSession)
	}
	r.advanceLocked(now)
	return now, nil
}

// waitCallDelay sleeps for the injected delay of calls.
func (r *Runtime) waitCallDelay() {
	r.mutex.Lock()
	delay := time.Duration(r.faults.CallDelayMillis) * time.Millisecond
	r.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// callResult returns the result of a call that took effect: nil, or ErrOutcomeUnknown if the
// LoseAnswers fault is set.
func (r *Runtime) callResult() error {
	if r.faults.LoseAnswers {
		return errors.Wrap(runtime.ErrOutcomeUnknown, "the answer is lost")
	}
	return nil
}

// Attach implements runtime.Runtime.
func (r *Runtime) Attach(context.Context) (runtime.Attachment, error) {
	r.waitCallDelay()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.faults.Unavailable {
		return runtime.Attachment{}, errors.Wrap(runtime.ErrUnavailable, "switched off by a test")
	}
	now := time.Now()
	r.advanceLocked(now)
	r.session.Number++
	return runtime.Attachment{Session: r.session, Capacity: r.config.Capacity, Tasks: r.statuses(now)}, nil
}

// Start implements runtime.Runtime.
func (r *Runtime) Start(_ context.Context, request runtime.StartRequest) error {
	now, err := r.beginCall(request.Session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	if tooLate(now, request.NotAfter) {
		return errors.WithStack(runtime.ErrTooLate)
	}
	key := attemptKey{taskID: request.TaskID, attempt: request.Attempt}
	if existing, ok := r.tasks[key]; ok {
		if existing.phase == runtime.PhaseRunning {
			return r.callResult()
		}
		return errors.Wrap(runtime.ErrConflict, "the attempt has ended")
	}
	if r.hasRunningAttempt(request.TaskID) {
		r.doubleRuns++
		return errors.WithStack(runtime.ErrConflict)
	}
	r.startTask(key, newAttempt(request, now), now)
	return r.callResult()
}

// tooLate reports whether now is after the deadline of a call; a zero notAfter means no deadline.
func tooLate(now, notAfter time.Time) bool { return !notAfter.IsZero() && now.After(notAfter) }

// Renew implements runtime.Runtime.
func (r *Runtime) Renew(_ context.Context, session task.Session, lease time.Duration, notAfter time.Time) error {
	now, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	if tooLate(now, notAfter) {
		return errors.WithStack(runtime.ErrTooLate)
	}
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			t.leaseUntil = now.Add(lease)
		}
	}
	return nil
}

// Evict implements runtime.Runtime.
func (r *Runtime) Evict(_ context.Context, session task.Session, taskID string, attempt uint32) (string, error) {
	now, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return "", err
	}
	t, ok := r.tasks[attemptKey{taskID: taskID, attempt: attempt}]
	if !ok || t.phase != runtime.PhaseRunning {
		return "", errors.WithStack(runtime.ErrNotFound)
	}
	t.saveCheckpoint()
	r.endAttempt(t, now, runtime.PhaseStopped, "evicted", "evicted")
	return t.checkpoint, r.callResult()
}

// Stop implements runtime.Runtime.
func (r *Runtime) Stop(_ context.Context, session task.Session, taskID string, attempt uint32) error {
	now, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	t, ok := r.tasks[attemptKey{taskID: taskID, attempt: attempt}]
	if !ok || t.phase != runtime.PhaseRunning {
		return errors.WithStack(runtime.ErrNotFound)
	}
	r.endAttempt(t, now, runtime.PhaseStopped, "stopped", "stopped")
	return r.callResult()
}

// Throttle implements runtime.Runtime.
func (r *Runtime) Throttle(_ context.Context, session task.Session, taskID string, permille int) error {
	_, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	for key, t := range r.tasks {
		if key.taskID == taskID && t.phase == runtime.PhaseRunning {
			t.throttle = min(max(permille, 0), fullPermille)
			return nil
		}
	}
	return errors.WithStack(runtime.ErrNotFound)
}

// List implements runtime.Runtime.
func (r *Runtime) List(_ context.Context, session task.Session) ([]runtime.Status, error) {
	now, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	return r.statuses(now), nil
}

// Forget implements runtime.Runtime.
func (r *Runtime) Forget(_ context.Context, session task.Session, taskID string, attempt uint32) error {
	_, err := r.beginCall(session)
	defer r.mutex.Unlock()
	if err != nil {
		return err
	}
	key := attemptKey{taskID: taskID, attempt: attempt}
	t, ok := r.tasks[key]
	if !ok {
		return errors.WithStack(runtime.ErrNotFound)
	}
	if t.phase == runtime.PhaseRunning {
		return errors.Wrap(runtime.ErrConflict, "the attempt is running")
	}
	delete(r.tasks, key)
	return nil
}
