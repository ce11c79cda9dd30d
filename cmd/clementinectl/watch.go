package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// watchCommand shows a task and each later change.
type watchCommand struct {
	ID string `arg:"" help:"Id of the task."`
}

// Help returns the examples.
func (c *watchCommand) Help() string { return "Example:\n  clementinectl watch TASK -o json" }

// Run prints the task each time it changes until it has ended.
func (c *watchCommand) Run(ctx context.Context, s *session) error {
	header := true
	return s.followTask(ctx, c.ID, func(t *operatorv1.Task) (bool, error) {
		err := s.print(t, func() table {
			rows := tasksTable(t)
			if !header {
				rows = rows[1:]
			}
			header = false
			return rows
		})
		return isFinal(t.GetState()), err
	})
}
