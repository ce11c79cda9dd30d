package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneDeleteCommand deletes an availability zone.
type zoneDeleteCommand struct {
	changeFlags
	Name string `arg:"" help:"Name of the zone."`
}

// Help returns the examples.
func (c *zoneDeleteCommand) Help() string {
	return `The zone must be out of service and must have no workers.

Example:
  clementinectl zone delete kamloops`
}

// Run deletes the zone.
func (c *zoneDeleteCommand) Run(ctx context.Context, s *session) error {
	request := &operatorv1.DeleteZoneRequest{RequestId: c.id(), Name: c.Name}
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.DeleteZone, request)
	if err != nil {
		return err
	}
	return s.printChange(response)
}
