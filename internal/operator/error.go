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

// Values of Error.RetryAfter.
const (
	// retryUnavailable is the interval at which an entry reads the configuration from the store.
	retryUnavailable = time.Second
	// retryNotOwner is the TTL of an entry's registration. Once it expires, other entries claim the
	// shards of the entry.
	retryNotOwner = 3 * time.Second
)

// Error is an error of the operator interface. Clients receive it as a gRPC status with an
// ErrorDetail.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the time after which a retry may succeed, or zero if a retry cannot succeed.
	RetryAfter time.Duration
	// CurrentRevision is the current configuration revision. It is set only for CodeConflict.
	CurrentRevision uint64
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Errorf returns an Error with a formatted message.
func Errorf(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// ErrNotOwner means that another entry owns the shard of the task. Entry names the owner; it is empty
// if the owner is not known.
type ErrNotOwner struct{ Entry string }

// Error implements error.
func (e *ErrNotOwner) Error() string {
	if e.Entry == "" {
		return "the shard has no known owner"
	}
	return fmt.Sprintf("the shard is owned by entry %s", e.Entry)
}

// callKind tells whether a call changes state. After a change ends without a response, its outcome is
// unknown.
type callKind bool

const (
	readCall   callKind = false
	changeCall callKind = true
)

// statusError converts the error to a gRPC status with an ErrorDetail. Errors of unknown type become
// CodeInternal without their text, which may contain details that must not reach a client.
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
	case isContextError(err) && kind == changeCall:
		// The change may have been committed before the context was cancelled or expired.
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
