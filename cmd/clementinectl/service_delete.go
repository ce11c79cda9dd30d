package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// serviceDeleteCommand deletes a service.
type serviceDeleteCommand struct {
	changeFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run deletes the service.
func (c *serviceDeleteCommand) Run(ctx context.Context, s *session) error {
	request := &operatorv1.DeleteServiceRequest{RequestId: c.id(), Name: c.Name}
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.DeleteService, request)
	if err != nil {
		return err
	}
	return s.printChange(response)
}
