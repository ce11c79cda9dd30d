package shard

import "github.com/pkg/errors"

// Errors of the shard layer.
var (
	// ErrNotOwner means that this entry does not own the shard; the proposal was not applied.
	ErrNotOwner = errors.New("shard: not owned by this entry")
	// ErrUnavailable means that the proposal could not be committed, usually because the store was
	// unavailable; the proposal was not applied and may be retried.
	ErrUnavailable = errors.New("shard: store unavailable")
	// ErrFull means that the shard is at its size limit; the proposal was not applied.
	ErrFull = errors.New("shard: full")
	// ErrOutcomeUnknown means that the outcome of the commit could not be determined, for example because
	// the context ended or the entry stopped while it was in flight; the proposal may or may not be
	// applied.
	ErrOutcomeUnknown = errors.New("shard: outcome of the proposal is unknown")
)
