package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// explainCommand shows the recent decisions about a task.
type explainCommand struct {
	ID string `arg:"" help:"Id of the task."`
}

// Help returns the examples.
func (c *explainCommand) Help() string { return "Example:\n  clementinectl explain TASK" }

// Run prints the decisions, oldest first.
func (c *explainCommand) Run(ctx context.Context, s *session) error {
	explained, err := call(ctx, s, operatorv1.OperatorServiceClient.ExplainTask, &operatorv1.GetTaskRequest{Id: c.ID})
	if err != nil {
		return err
	}
	return s.print(explained, func() table { return decisionsTable(explained) })
}
