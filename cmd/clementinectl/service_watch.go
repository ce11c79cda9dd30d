package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// serviceWatchCommand shows a service and each later change.
type serviceWatchCommand struct {
	Name string `arg:"" help:"Name of the service."`
}

// Help returns the examples.
func (c *serviceWatchCommand) Help() string {
	return "Example:\n  clementinectl service watch rail-fitting"
}

// Run prints the service, and again each time that it changes.
func (c *serviceWatchCommand) Run(ctx context.Context, s *session) error {
	return printChanges(ctx, s, operatorv1.OperatorServiceClient.WatchService, &operatorv1.GetServiceRequest{Name: c.Name},
		func(service *operatorv1.Service) table { return servicesTable(service) })
}
