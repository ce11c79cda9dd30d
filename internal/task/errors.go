package task

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of transitions. Each means that the record was left unchanged.
var (
	// ErrStaleAttempt reports an event of another attempt than the recorded one.
	ErrStaleAttempt = errors.New("task: event is for another attempt")
	// ErrWrongWorker reports an event from a worker that does not hold the assignment.
	ErrWrongWorker = errors.New("task: event is from another worker")
	// ErrWrongSession reports an event of another boot or of an older session of the worker.
	ErrWrongSession = errors.New("task: event is for another session")
	// ErrWrongState reports an event that the recorded state does not permit.
	ErrWrongState = errors.New("task: event does not apply to the state")
	// ErrTooEarly reports an assignment before NotBefore.
	ErrTooEarly = errors.New("task: assignment before the end of the delay")
)

// IsMismatch reports whether err says that an event does not match the record.
func IsMismatch(err error) bool {
	return errors.Is(err, ErrStaleAttempt) || errors.Is(err, ErrWrongWorker) ||
		errors.Is(err, ErrWrongSession) || errors.Is(err, ErrWrongState)
}

// InvalidSpecError names the field of a specification that is not acceptable.
type InvalidSpecError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidSpecError) Error() string {
	return fmt.Sprintf("task: invalid %s: %s", e.Field, e.Reason)
}
