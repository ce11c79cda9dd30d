package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// getCommand shows a task.
type getCommand struct {
	ID string `arg:"" help:"Id of the task."`
}

// Help returns the examples.
func (c *getCommand) Help() string { return "Example:\n  clementinectl get TASK -o yaml" }

// Run prints the task.
func (c *getCommand) Run(ctx context.Context, s *session) error {
	found, err := call(ctx, s, operatorv1.OperatorServiceClient.GetTask, &operatorv1.GetTaskRequest{Id: c.ID})
	if err != nil {
		return err
	}
	return s.print(found, func() table { return tasksTable(found) })
}
