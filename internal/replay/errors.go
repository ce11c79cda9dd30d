package replay

import (
	"fmt"

	"github.com/pkg/errors"
)

// Causes of a LineError.
var (
	// ErrSyntax reports a line that is not a JSON object of the format.
	ErrSyntax = errors.New("not a line of the format")
	// ErrHeader reports a missing, second or unusable header.
	ErrHeader = errors.New("header")
	// ErrVersion reports an unknown format version.
	ErrVersion = errors.New("unknown format version")
	// ErrBody reports a line or expectation that does not hold exactly one body.
	ErrBody = errors.New("not exactly one body")
	// ErrOrder reports a time before that of an earlier line.
	ErrOrder = errors.New("time goes back")
	// ErrValue reports a value outside its range.
	ErrValue = errors.New("value out of range")
	// ErrLimit reports a trace that exceeds a limit.
	ErrLimit = errors.New("limit exceeded")
)

// LineError names the line of a trace that cannot be used.
type LineError struct {
	Line   int
	Cause  error
	Detail string
}

// Error implements error.
func (e *LineError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("trace line %d: %v", e.Line, e.Cause)
	}
	return fmt.Sprintf("trace line %d: %v: %s", e.Line, e.Cause, e.Detail)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }
