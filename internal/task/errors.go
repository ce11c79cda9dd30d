package task

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of transitions. The record is unchanged if a transition returns one of them.
var (
	// ErrStaleAttempt reports an event whose attempt is not the recorded one.
	ErrStaleAttempt = errors.New("task: event is for another attempt")
	// ErrWrongWorker reports an event from a worker that does not hold the assignment.
	ErrWrongWorker = errors.New("task: event is from another worker")
	// ErrWrongSession reports an event of another boot of the worker, or an adoption by a session that
	// is not newer than the recorded one.
	ErrWrongSession = errors.New("task: event is for another session")
	// ErrWrongState reports an event that is not permitted in the recorded state.
	ErrWrongState = errors.New("task: event does not apply to the state")
	// ErrTooEarly reports an assignment before Record.NotBefore.
	ErrTooEarly = errors.New("task: assignment before the end of the delay")
)

// IsMismatch reports whether err is one of the errors for an event that does not match the record:
// ErrStaleAttempt, ErrWrongWorker, ErrWrongSession or ErrWrongState.
func IsMismatch(err error) bool {
	return errors.Is(err, ErrStaleAttempt) || errors.Is(err, ErrWrongWorker) ||
		errors.Is(err, ErrWrongSession) || errors.Is(err, ErrWrongState)
}

// InvalidSpecError reports an invalid field of a specification.
type InvalidSpecError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidSpecError) Error() string {
	return fmt.Sprintf("task: invalid %s: %s", e.Field, e.Reason)
}
