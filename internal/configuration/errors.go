package configuration

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors returned by Follower.Change.
var (
	// ErrUnavailable reports a change that was definitely not applied because the store was unavailable.
	ErrUnavailable = errors.New("configuration: store unavailable, the change was not applied")
	// ErrConflict reports a change that was not applied because of a concurrent one; see ConflictError.
	ErrConflict = errors.New("configuration: conflict with another change")
	// ErrOutcomeUnknown reports a change that may or may not have been applied: the store did not
	// answer, and reading the document back did not show the outcome before the context ended or the
	// list of changes no longer covered the change.
	ErrOutcomeUnknown = errors.New("configuration: outcome of the change is unknown")
	// ErrMissingRequestID reports a change without a request id.
	ErrMissingRequestID = errors.New("configuration: a change needs a request id")
)

// ConflictError reports a change that was not applied because the document had changed.
type ConflictError struct {
	// Current is the document's current revision.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the current revision is %d", ErrConflict.Error(), e.Current)
}

// Is reports whether target is ErrConflict, so that errors.Is matches it.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Errors of documents and mutations. Each is wrapped in a FieldError with the path of the field.
var (
	// ErrMissing reports a required field or list that is empty.
	ErrMissing = errors.New("missing")
	// ErrDuplicate reports a name that is used twice.
	ErrDuplicate = errors.New("duplicate name")
	// ErrUnknownTeam reports a reference to a team that does not exist.
	ErrUnknownTeam = errors.New("unknown team")
	// ErrUnknownZone reports a reference to an availability zone that does not exist.
	ErrUnknownZone = errors.New("unknown availability zone")
	// ErrInService reports an attempt to delete an availability zone that is in service.
	ErrInService = errors.New("availability zone is in service")
	// ErrUnknownService reports a reference to a service that does not exist.
	ErrUnknownService = errors.New("unknown service")
	// ErrTooSmall reports a number, size or duration below its minimum.
	ErrTooSmall = errors.New("value is too small")
	// ErrNotFinite reports a number that is infinite or not a number.
	ErrNotFinite = errors.New("value is not finite")
	// ErrTooLarge reports a document that exceeds the store's limit on the size of a value.
	ErrTooLarge = errors.New("document is too large")
	// ErrRegionMismatch reports a document that belongs to another region.
	ErrRegionMismatch = errors.New("document belongs to another region")
)

// FieldError reports an invalid field of a document.
type FieldError struct {
	// Path is the path of the field, such as "services[rail].team".
	Path  string
	Cause error
}

// Error implements error.
func (e *FieldError) Error() string { return "configuration: " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause, which is one of the errors of documents and mutations.
func (e *FieldError) Unwrap() error { return e.Cause }

// InvalidError reports a document with at least one invalid field.
type InvalidError struct {
	Errors []*FieldError
}

// Error implements error.
func (e *InvalidError) Error() string {
	if len(e.Errors) == 1 {
		return e.Errors[0].Error()
	}
	return fmt.Sprintf("%s (and %d more faults)", e.Errors[0].Error(), len(e.Errors)-1)
}

// Unwrap returns all field errors.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, 0, len(e.Errors))
	for _, err := range e.Errors {
		errs = append(errs, err)
	}
	return errs
}
