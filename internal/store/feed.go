package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted reports changes that the store no longer has; the caller lists the keys again.
var ErrCompacted = errors.New("store: history is compacted")

// Changes are the changes of a prefix up to a revision.
type Changes struct {
	Events []Event
	At     Revision
}

// Feed reads a prefix as a list followed by its changes.
type Feed interface {
	// ListAt returns all keys with the prefix and a revision from which Changes misses none of them.
	ListAt(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Changes waits until the prefix changes after the revision, or for the given time, and returns
	// the changes. It returns ErrCompacted if the store has dropped that part of its history.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
