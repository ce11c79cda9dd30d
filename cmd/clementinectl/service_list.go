package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// serviceListCommand lists services.
type serviceListCommand struct {
	pageFlags
}

// Run prints the services of all pages.
func (c *serviceListCommand) Run(ctx context.Context, s *session) error {
	all := &operatorv1.ListServicesResponse{}
	err := c.each(func(size int32, token string) (int, string, error) {
		response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListServices,
			&operatorv1.ListServicesRequest{PageSize: size, PageToken: token})
		all.Services = append(all.Services, response.GetServices()...)
		return len(response.GetServices()), response.GetNextPageToken(), err
	})
	if err != nil {
		return err
	}
	return s.print(all, func() table { return servicesTable(all.GetServices()...) })
}
