package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// serviceGetCommand shows a service.
type serviceGetCommand struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the service.
func (c *serviceGetCommand) Run(ctx context.Context, s *session) error {
	found, err := call(ctx, s, operatorv1.OperatorServiceClient.GetService, &operatorv1.GetServiceRequest{Name: c.Name})
	if err != nil {
		return err
	}
	return s.print(found, func() table { return servicesTable(found) })
}
