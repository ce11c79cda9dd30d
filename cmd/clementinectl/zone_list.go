package main

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// zoneListCommand lists availability zones.
type zoneListCommand struct {
	pageFlags
}

// Run prints the zones of all pages.
func (c *zoneListCommand) Run(ctx context.Context, s *session) error {
	all, err := s.zones(ctx, c.pageFlags)
	if err != nil {
		return err
	}
	return s.print(all, func() table { return zonesTable(all.GetZones()) })
}

// zones returns the zones of all pages.
func (s *session) zones(ctx context.Context, flags pageFlags) (*operatorv1.ListZonesResponse, error) {
	all := &operatorv1.ListZonesResponse{}
	err := flags.each(func(size int32, token string) (int, string, error) {
		response, err := call(ctx, s, operatorv1.OperatorServiceClient.ListZones,
			&operatorv1.ListZonesRequest{PageSize: size, PageToken: token})
		all.Zones = append(all.Zones, response.GetZones()...)
		return len(response.GetZones()), response.GetNextPageToken(), err
	})
	return all, err
}
