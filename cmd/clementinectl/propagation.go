package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// propagationCommand shows where a revision is not yet in force.
type propagationCommand struct {
	Revision uint64 `arg:"" optional:"" help:"Revision; default: the current one."`
}

// Help returns the examples.
func (c *propagationCommand) Help() string { return "Example:\n  clementinectl propagation 41" }

// Run prints the places that are behind.
func (c *propagationCommand) Run(ctx context.Context, s *session) error {
	propagation, err := call(ctx, s, operatorv1.OperatorServiceClient.GetPropagation,
		&operatorv1.GetPropagationRequest{Revision: c.Revision})
	if err != nil {
		return err
	}
	return s.print(propagation, func() table { return propagationTable(propagation) })
}
