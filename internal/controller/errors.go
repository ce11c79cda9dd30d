package controller

import "github.com/pkg/errors"

// Errors that an implementation of Shard returns from Propose.
var (
	// ErrOwnershipLost reports that this entry no longer owns the shard; nothing was applied.
	ErrOwnershipLost = errors.New("controller: shard ownership was lost")
	// ErrShardFull reports that the change exceeds the shard's size limit; nothing was applied.
	ErrShardFull = errors.New("controller: shard is full")
)

// Errors of the controller's operations.
var (
	// ErrAlreadyExists reports a task with the same name and another specification.
	ErrAlreadyExists = errors.New("controller: a task with this name and another specification exists")
	// ErrNotFound reports a task without a record.
	ErrNotFound = errors.New("controller: no such task")
	// ErrAlreadyEnded reports a cancellation of a task that ended in a state other than cancelled.
	ErrAlreadyEnded = errors.New("controller: the task has already ended")
	// ErrResourceExhausted reports a submission to a full shard.
	ErrResourceExhausted = errors.New("controller: the shard of the task is full")
	// ErrUnavailable reports that the operation is not possible at present; nothing was applied.
	ErrUnavailable = errors.New("controller: unavailable")
	// ErrOutcomeUnknown reports that the call ended before its outcome was known. The caller may
	// retry the same request.
	ErrOutcomeUnknown = errors.New("controller: outcome unknown")
)

// NotOwnerError reports that another entry owns the task's shard.
type NotOwnerError struct {
	// Entry is the owner's name.
	Entry string
}

// Error implements error.
func (e NotOwnerError) Error() string { return "controller: the task is owned by entry " + e.Entry }

// QuotaTooSmallError reports a specification that is larger than the whole quota of its team.
type QuotaTooSmallError struct {
	Team string
}

// Error implements error.
func (e QuotaTooSmallError) Error() string {
	return "controller: the task is larger than the quota of team " + e.Team
}

// toOperationError maps an error of Propose to an error of the controller's operations.
func (c *Controller) toOperationError(shardID uint16, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrOwnershipLost):
		return c.notOwnerError(shardID)
	case errors.Is(err, ErrShardFull):
		return ErrResourceExhausted
	case isContextError(err):
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	default:
		return err
	}
}

// notOwnerError returns a *NotOwnerError with the shard's owner, or ErrUnavailable if the shard has no
// owner or its owner is recorded as this entry.
func (c *Controller) notOwnerError(shardID uint16) error {
	owner, ok := c.shards.Owner(shardID)
	if !ok || owner == c.entry {
		return errors.Wrapf(ErrUnavailable, "shard %d has no owner", shardID)
	}
	return NotOwnerError{Entry: owner}
}
