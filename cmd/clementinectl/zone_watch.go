package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneWatchCommand shows a zone and each later change.
type zoneWatchCommand struct {
	Name string `arg:"" help:"Name of the zone."`
}

// Help returns the examples.
func (c *zoneWatchCommand) Help() string { return "Example:\n  clementinectl zone watch curepipe" }

// Run prints the zone, and again each time that it or what runs there changes.
func (c *zoneWatchCommand) Run(ctx context.Context, s *session) error {
	return printChanges(ctx, s, operatorv1.OperatorServiceClient.WatchZone, &operatorv1.GetZoneRequest{Name: c.Name},
		func(zone *operatorv1.ZoneStatus) table { return zonesTable([]*operatorv1.ZoneStatus{zone}) })
}
