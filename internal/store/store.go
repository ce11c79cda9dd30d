// Package store defines the interface to the platform's key-value service.
//
// The interface is deliberately small. The service counts each call, so callers batch their writes.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the service accepts, in bytes.
const MaxValueBytes = 1 << 20

// Revision numbers the changes of the whole store in increasing order. Zero means "no such key".
type Revision uint64

// LeaseID identifies a lease granted by the store. Zero means "no lease".
type LeaseID uint64

// KeyValue is one key with its value and the revision of its last change.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision Revision
	// Lease is the lease that the key is bound to, or zero.
	Lease LeaseID
}

// Event is one change reported by a watch.
type Event struct {
	KeyValue
	// Deleted is true if the key was deleted or its lease expired; Value is then nil.
	Deleted bool
}

// Watcher delivers the events of one watch.
type Watcher interface {
	// Next blocks until an event arrives. Events may be repeated or missed; callers compare
	// revisions and confirm by reading. It returns ErrWatchClosed when the watch has ended.
	Next(ctx context.Context) (Event, error)
	// Close ends the watch and releases its resources.
	Close()
}

// Store is the platform's key-value service. Implementations are safe for concurrent use.
//
// Errors: ErrUnavailable if the call certainly had no effect, ErrOutcomeUnknown if a write may or
// may not have taken effect, and the errors named at each method.
type Store interface {
	// Get returns the value of key, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// CompareAndSwap writes value if the key's revision equals expected (zero: the key must not
	// exist) and returns the new revision. It returns *ConflictError if the revision differs and
	// ErrLeaseNotFound if lease is not zero and has expired.
	CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes key if its revision equals expected, else it returns *ConflictError.
	Delete(ctx context.Context, key string, expected Revision) error
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's ttl, or returns ErrLeaseNotFound if it has expired.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends the lease and deletes the keys bound to it.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch reports the changes to keys with the prefix that come after the revision.
	Watch(ctx context.Context, prefix string, after Revision) (Watcher, error)
}
