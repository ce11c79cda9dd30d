package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// cancelCommand stops a task for good.
type cancelCommand struct {
	changeFlags
	waitFlags
	ID string `arg:"" help:"Id of the task."`
}

// Help returns the examples.
func (c *cancelCommand) Help() string { return "Example:\n  clementinectl cancel TASK --wait" }

// Run cancels the task.
func (c *cancelCommand) Run(ctx context.Context, s *session) error {
	request := &operatorv1.CancelTaskRequest{RequestId: c.id(), Id: c.ID}
	cancelled, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.CancelTask, request)
	if err != nil {
		return err
	}
	if !c.Wait {
		return s.print(cancelled, func() table { return tasksTable(cancelled) })
	}
	return s.waitForTask(ctx, c.waitFlags, cancelled, func(t *operatorv1.Task) (bool, bool) {
		return isFinal(t.GetState()), t.GetState() == operatorv1.TaskState_TASK_STATE_CANCELLED
	})
}
