package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted reports that the store no longer keeps the requested changes. The caller must list the keys
// again.
var ErrCompacted = errors.New("store: history is compacted")

// Changes holds the changes to the keys with a prefix, up to and including revision At.
type Changes struct {
	Events []Event
	At     Revision
}

// Feed reads the keys with a prefix: first all of them, then their changes.
type Feed interface {
	// ListAt returns all keys with the prefix and a revision. Changes after that revision returns every
	// change that the list does not contain.
	ListAt(ctx context.Context, prefix string) ([]KeyValue, Revision, error)
	// Changes returns the changes after the revision. If there are none, it blocks until there is one or
	// the wait time is over. It returns ErrCompacted if the store has compacted that part of its history.
	Changes(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}
