package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneGetCommand shows an availability zone.
type zoneGetCommand struct {
	Name string `arg:"" help:"Name of the zone."`
}

// Run prints the zone.
func (c *zoneGetCommand) Run(ctx context.Context, s *session) error {
	found, err := call(ctx, s, operatorv1.OperatorServiceClient.GetZone, &operatorv1.GetZoneRequest{Name: c.Name})
	if err != nil {
		return err
	}
	return s.print(found, func() table { return zonesTable([]*operatorv1.ZoneStatus{found}) })
}
