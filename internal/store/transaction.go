package store

import (
	"context"
	"fmt"
)

// Condition requires that a key has a revision; zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets the value of one key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// MaxTransactionEntries bounds the conditions, writes and deletes of one transaction together.
const MaxTransactionEntries = 32

// Transactor applies transactions atomically.
type Transactor interface {
	// Commit applies the transaction and returns the revision of its writes. It returns
	// *ConditionError if a condition does not hold and ErrLeaseNotFound if a lease has expired.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
}

// ConditionError reports a transaction that was rejected because a condition did not hold.
type ConditionError struct {
	// Current holds the current state of those keys of the conditions that exist.
	Current []KeyValue
}

// Error implements error.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("store: a condition does not hold (%d of its keys exist)", len(e.Current))
}

// Revision returns the current revision of a condition's key, or zero if the key does not exist.
func (e *ConditionError) Revision(key string) Revision {
	return e.Find(key).Revision
}

// Find returns the current state of a condition's key, with revision zero if it does not exist.
func (e *ConditionError) Find(key string) KeyValue {
	for _, item := range e.Current {
		if item.Key == key {
			return item
		}
	}
	return KeyValue{Key: key}
}
