package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// workersCommand lists workers.
type workersCommand struct {
	pageFlags
	Zone string `help:"Only workers of this zone."`
}

// Help returns the examples.
func (c *workersCommand) Help() string { return "Example:\n  clementinectl workers --zone curepipe" }

// Run prints the workers of all pages.
func (c *workersCommand) Run(ctx context.Context, s *session) error {
	all, err := s.workers(ctx, c.pageFlags, c.Zone)
	if err != nil {
		return err
	}
	return s.print(all, func() table { return workersTable(all.GetWorkers()) })
}

// workers returns the workers of all pages.
func (s *session) workers(ctx context.Context, flags pageFlags, zone string) (*operatorv1.ListWorkersResponse, error) {
	all := &operatorv1.ListWorkersResponse{}
	err := flags.each(func(size int32, token string) (int, string, error) {
		response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListWorkers,
			&operatorv1.ListWorkersRequest{PageSize: size, PageToken: token, Zone: zone})
		all.Workers = append(all.Workers, response.GetWorkers()...)
		return len(response.GetWorkers()), response.GetNextPageToken(), err
	})
	return all, err
}
