package operator

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/pkg/errors"

	operatorv1 "clementineflow/api/operator/v1"
)

// Times after which a retry may succeed.
const (
	// retryUnavailable is one configuration read interval of an entry.
	retryUnavailable = time.Second
	// retryNotOwner is the TTL of an entry's registration, after which its shards are claimed.
	retryNotOwner = 3 * time.Second
)

// Error is an error of the operators' interface. It becomes a status with an ErrorDetail.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the time after which a retry may succeed; zero if a retry does not help.
	RetryAfter time.Duration
	// CurrentRevision is the current configuration revision, for CodeConflict.
	CurrentRevision uint64
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Errorf returns an Error with a formatted message.
func Errorf(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// ErrNotOwner reports a task whose shard another entry owns. An empty Entry means that the owner is
// not known.
type ErrNotOwner struct{ Entry string }

// Error implements error.
func (e *ErrNotOwner) Error() string {
	if e.Entry == "" {
		return "the shard has no known owner"
	}
	return fmt.Sprintf("the shard is owned by entry %s", e.Entry)
}

// callKind says whether a call can change something.
type callKind bool

const (
	reads   callKind = false
	changes callKind = true
)

// statusError returns the error as a status with an ErrorDetail. Errors of unknown type become
// CodeInternal without their text, which may hold what a client must not see.
func statusError(err error, kind callKind) error {
	if err == nil {
		return nil
	}
	if known, ok := status.FromError(err); ok {
		return known.Err()
	}
	typed := toError(err, kind)
	detail := &operatorv1.ErrorDetail{
		Code: string(typed.Code), Message: typed.Message, CurrentRevision: typed.CurrentRevision,
	}
	if typed.RetryAfter > 0 {
		detail.RetryAfter = durationpb.New(typed.RetryAfter)
	}
	plain := status.New(typed.Code.Status(), typed.Message)
	detailed, err := plain.WithDetails(detail)
	if err != nil {
		return plain.Err()
	}
	return detailed.Err()
}

func toError(err error, kind callKind) *Error {
	var typed *Error
	var notOwner *ErrNotOwner
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &notOwner):
		return &Error{Code: CodeNotOwner, Message: notOwner.Error(), RetryAfter: retryNotOwner}
	case isContextError(err) && kind == changes:
		// The change may have been committed before the context ended.
		return &Error{
			Code: CodeOutcomeUnknown, RetryAfter: retryUnavailable,
			Message: "the call ended before the outcome was known; repeat it with the same request_id",
		}
	case errors.Is(err, context.Canceled):
		return Errorf(CodeCancelled, "the call was cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		return &Error{Code: CodeDeadlineExceeded, Message: "the deadline passed", RetryAfter: retryUnavailable}
	default:
		return Errorf(CodeInternal, "internal error; the log of the entry has the cause")
	}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
