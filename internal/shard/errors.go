package shard

import "github.com/pkg/errors"

// Errors of the shard layer.
var (
	// ErrNotOwner reports a shard that this entry does not own; the proposal was not applied.
	ErrNotOwner = errors.New("shard: not owned by this entry")
	// ErrUnavailable reports that the store was unavailable; the proposal was not applied.
	ErrUnavailable = errors.New("shard: store unavailable")
	// ErrFull reports a shard at its size limit; the proposal was not applied.
	ErrFull = errors.New("shard: full")
	// ErrOutcomeUnknown reports a proposal whose context ended, or whose entry stopped, while its
	// commit was on the way; it may or may not be applied.
	ErrOutcomeUnknown = errors.New("shard: outcome of the proposal is unknown")
)
