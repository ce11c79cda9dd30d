package store

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of the store layer.
var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrUnavailable reports a failed call that is guaranteed to have had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrThrottled reports a call that a limit has turned away. It is also ErrUnavailable, but says nothing about whether the
	// store can be reached.
	ErrThrottled = errors.WithMessage(ErrUnavailable, "throttled")
	// ErrOutcomeUnknown reports a write that may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("store: outcome of the write is unknown")
	// ErrLeaseNotFound reports a lease that has expired or never existed.
	ErrLeaseNotFound = errors.New("store: lease not found")
	// ErrWatchClosed reports a watch that has ended.
	ErrWatchClosed = errors.New("store: watch closed")
	// ErrValueTooLarge reports a value above MaxValueBytes.
	ErrValueTooLarge = errors.New("store: value too large")
)

// ConflictError reports a compare-and-swap whose expected revision was not the current one.
type ConflictError struct {
	Key     string
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conflict on %s: current revision is %d", e.Key, e.Current)
}
