package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// revisionsCommand lists accepted changes.
type revisionsCommand struct {
	pageFlags
}

// Run prints the changes, newest first.
func (c *revisionsCommand) Run(ctx context.Context, s *session) error {
	all := &operatorv1.ListRevisionsResponse{}
	err := c.each(func(size int32, token string) (int, string, error) {
		response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListRevisions,
			&operatorv1.ListRevisionsRequest{PageSize: size, PageToken: token})
		all.Revisions = append(all.Revisions, response.GetRevisions()...)
		return len(response.GetRevisions()), response.GetNextPageToken(), err
	})
	if err != nil {
		return err
	}
	return s.print(all, func() table { return revisionsTable(all.GetRevisions()) })
}
