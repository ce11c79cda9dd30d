package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneInCommand brings a zone back into service.
type zoneInCommand struct {
	changeFlags
	waitFlags
	Name string `arg:"" help:"Name of the zone."`
}

// Help returns the examples.
func (c *zoneInCommand) Help() string { return "Example:\n  clementinectl zone in curepipe --wait" }

// Run brings the zone back into service.
func (c *zoneInCommand) Run(ctx context.Context, s *session) error {
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.SetZoneService,
		&operatorv1.SetZoneServiceRequest{RequestId: c.id(), Name: c.Name})
	if err != nil {
		return err
	}
	if err := s.printChange(response); err != nil || !c.Wait {
		return err
	}
	return s.wait(ctx, c.waitFlags, response.GetRevision(), s.inForce(response.GetRevision()))
}
