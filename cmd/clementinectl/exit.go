package main

import (
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	"clementineflow/internal/operator"
	"clementineflow/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitNotFound
	exitConflict
	exitUnavailable
	exitOutcomeUnknown
	exitWaitTimedOut
)

// exitError is an error with a fixed exit code.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func usageError(format string, arguments ...any) error {
	return &exitError{code: exitUsage, cause: fmt.Errorf(format, arguments...)}
}

// changeError is the failure of a call that changes something.
type changeError struct {
	requestID string
	cause     error
}

// Error implements error.
func (e *changeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *changeError) Unwrap() error { return e.cause }

// exitCode returns the exit code for an error. A change that failed without a detail from an entry
// may have taken effect.
func exitCode(err error) int {
	var fixed *exitError
	var faults settings.Faults
	var failed *changeError
	switch {
	case errors.As(err, &fixed):
		return fixed.code
	case errors.As(err, &faults):
		return exitUsage
	}
	isChange := errors.As(err, &failed)
	switch status.Code(err) {
	case codes.NotFound:
		return exitNotFound
	case codes.Aborted, codes.AlreadyExists:
		return exitConflict
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return connectionExit(err, isChange)
	default:
		return exitFailure
	}
}

func connectionExit(err error, isChange bool) int {
	detail := operator.DetailOf(err)
	known := detail != nil && detail.GetCode() != string(operator.CodeOutcomeUnknown)
	if isChange && !known {
		return exitOutcomeUnknown
	}
	return exitUnavailable
}

// message returns the text of an error for the operator.
func message(err error) string {
	detail := operator.DetailOf(err)
	if detail == nil {
		if converted, ok := status.FromError(err); ok {
			return fmt.Sprintf("%s: %s", converted.Code(), converted.Message())
		}
		return err.Error()
	}
	text := fmt.Sprintf("%s: %s", detail.GetCode(), detail.GetMessage())
	if detail.GetCurrentRevision() > 0 {
		text += fmt.Sprintf(" (current revision %d)", detail.GetCurrentRevision())
	}
	if detail.GetRetryAfter() != nil {
		text += fmt.Sprintf(" (retry after %s)", detail.GetRetryAfter().AsDuration())
	}
	return text
}
