package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// entriesCommand lists entries.
type entriesCommand struct{}

// Run prints every entry that is configured, registered or connected.
func (c *entriesCommand) Run(ctx context.Context, s *session) error {
	response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListEntries, &operatorv1.ListEntriesRequest{})
	if err != nil {
		return err
	}
	return s.print(response, func() table { return entriesTable(response.GetEntries()) })
}
