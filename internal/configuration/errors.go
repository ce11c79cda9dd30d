package configuration

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of a change.
var (
	// ErrUnavailable reports a change that was certainly not applied because the store was unavailable.
	ErrUnavailable = errors.New("configuration: store unavailable, the change was not applied")
	// ErrConflict reports a change that lost against another one; see ConflictError.
	ErrConflict = errors.New("configuration: conflict with another change")
	// ErrOutcomeUnknown reports a change that may or may not have been applied, because the store did
	// not answer and could not be read back before the context ended.
	ErrOutcomeUnknown = errors.New("configuration: outcome of the change is unknown")
	// ErrRequestID reports a change without a request id.
	ErrRequestID = errors.New("configuration: a change needs a request id")
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

// Is reports that the error is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Errors of documents and mutations; each is wrapped in a FaultError that names the place.
var (
	// ErrMissing reports a required field or list that is empty.
	ErrMissing = errors.New("missing")
	// ErrDuplicate reports a name that is used twice.
	ErrDuplicate = errors.New("duplicate name")
	// ErrUnknownTeam reports a reference to a team that does not exist.
	ErrUnknownTeam = errors.New("unknown team")
	// ErrUnknownZone reports a reference to an availability zone that does not exist.
	ErrUnknownZone = errors.New("unknown availability zone")
	// ErrInService reports a deletion of an availability zone that is in service.
	ErrInService = errors.New("availability zone is in service")
	// ErrUnknownService reports a reference to a service that does not exist.
	ErrUnknownService = errors.New("unknown service")
	// ErrNegative reports a number, size or duration below its least value.
	ErrNegative = errors.New("value is too small")
	// ErrNotFinite reports a number that is infinite or not a number.
	ErrNotFinite = errors.New("value is not finite")
	// ErrTooLarge reports a document above the store's limit on values.
	ErrTooLarge = errors.New("document is too large")
	// ErrRegion reports a document of another region.
	ErrRegion = errors.New("document belongs to another region")
)

// FaultError names the place of one fault in a document.
type FaultError struct {
	// Path is the place, such as "services[rail].team".
	Path  string
	Cause error
}

// Error implements error.
func (e *FaultError) Error() string { return "configuration: " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the kind of the fault.
func (e *FaultError) Unwrap() error { return e.Cause }

// InvalidError reports a document with at least one fault.
type InvalidError struct {
	Faults []*FaultError
}

// Error implements error.
func (e *InvalidError) Error() string {
	if len(e.Faults) == 1 {
		return e.Faults[0].Error()
	}
	return fmt.Sprintf("%s (and %d more faults)", e.Faults[0].Error(), len(e.Faults)-1)
}

// Unwrap returns all faults.
func (e *InvalidError) Unwrap() []error {
	faults := make([]error, 0, len(e.Faults))
	for _, fault := range e.Faults {
		faults = append(faults, fault)
	}
	return faults
}
