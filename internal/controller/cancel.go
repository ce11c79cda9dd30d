package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/task"
)

// Cancel requests the cancellation of a task. A nil error means that the request is durable. The
// call is idempotent. It returns ErrNotFound, ErrAlreadyEnded, ErrUnavailable, ErrOutcomeUnknown or
// *NotOwnerError.
func (c *Controller) Cancel(ctx context.Context, requestID, taskID string) (task.Record, error) {
	shard, err := c.ownedShard(taskID)
	if err != nil {
		return task.Record{}, err
	}
	var result *task.Record
	err = c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		record, ok := tasks[taskID]
		if !ok {
			return ErrNotFound
		}
		result = record.Clone()
		if err := result.CancelRequested(time.Now()); err != nil {
			return errors.Wrap(ErrAlreadyEnded, record.State.String())
		}
		tasks[taskID] = result
		return nil
	})
	if err != nil {
		return task.Record{}, c.toOperationError(shard.ID(), err)
	}
	c.decisions.add(taskID, Decision{At: time.Now(), Action: "cancel", Worker: result.Worker, Reason: "request " + requestID})
	return *result, nil
}
