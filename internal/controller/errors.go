package controller

import "github.com/pkg/errors"

// Errors that an implementation of Shard returns from Propose.
var (
	// ErrOwnershipLost reports that the shard is not owned any more; nothing was applied.
	ErrOwnershipLost = errors.New("controller: shard ownership was lost")
	// ErrShardFull reports that the shard has no room for the change; nothing was applied.
	ErrShardFull = errors.New("controller: shard is full")
)

// Errors of the controller's operations.
var (
	// ErrAlreadyExists reports a task with the same name and another specification.
	ErrAlreadyExists = errors.New("controller: a task with this name and another specification exists")
	// ErrNotFound reports an unknown task.
	ErrNotFound = errors.New("controller: no such task")
	// ErrFinal reports a cancellation of a task that has ended otherwise.
	ErrFinal = errors.New("controller: the task has already ended")
	// ErrResourceExhausted reports a submission to a full shard.
	ErrResourceExhausted = errors.New("controller: the shard of the task is full")
	// ErrUnavailable reports that the store cannot be written now; nothing was applied.
	ErrUnavailable = errors.New("controller: unavailable")
	// ErrOutcomeUnknown reports that the call ended before its outcome was known. The same request
	// may be repeated.
	ErrOutcomeUnknown = errors.New("controller: outcome unknown")
)

// ErrNotOwner reports that another entry owns the task's shard.
type ErrNotOwner struct {
	// Entry is the owner's name.
	Entry string
}

// Error implements error.
func (e ErrNotOwner) Error() string { return "controller: the task is owned by entry " + e.Entry }

// ErrQuotaTooSmall reports a specification that is larger than the whole quota of its team.
type ErrQuotaTooSmall struct {
	Team string
}

// Error implements error.
func (e ErrQuotaTooSmall) Error() string {
	return "controller: the task is larger than the quota of team " + e.Team
}

// translate maps an error of Propose to one of the controller's operations.
func (c *Controller) translate(shardID uint16, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrOwnershipLost):
		return c.notOwner(shardID)
	case errors.Is(err, ErrShardFull):
		return ErrResourceExhausted
	case isContextError(err):
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	default:
		return err
	}
}

// notOwner names the shard's owner, or returns ErrUnavailable if there is none or it is this entry.
func (c *Controller) notOwner(shardID uint16) error {
	owner, ok := c.shards.Owner(shardID)
	if !ok || owner == c.entry {
		return errors.Wrapf(ErrUnavailable, "shard %d has no owner", shardID)
	}
	return ErrNotOwner{Entry: owner}
}
