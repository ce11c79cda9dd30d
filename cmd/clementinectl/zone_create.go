package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneCreateCommand creates an availability zone.
type zoneCreateCommand struct {
	changeFlags
	Name         string `arg:"" help:"Name of the zone."`
	OutOfService bool   `help:"Create it out of service."`
	Reason       string `help:"Why it is out of service."`
}

// Help returns the examples.
func (c *zoneCreateCommand) Help() string {
	return "Example:\n  clementinectl zone create kamloops --out-of-service --reason 'not wired yet'"
}

// Run creates the zone.
func (c *zoneCreateCommand) Run(ctx context.Context, s *session) error {
	request := &operatorv1.CreateZoneRequest{RequestId: c.id(), Zone: &operatorv1.Zone{
		Name: c.Name, OutOfService: c.OutOfService, Reason: c.Reason,
	}}
	response, err := changeOnce(ctx, s, &c.changeFlags, operatorv1.OperatorServiceClient.CreateZone, request)
	if err != nil {
		return err
	}
	return s.printChange(response)
}
