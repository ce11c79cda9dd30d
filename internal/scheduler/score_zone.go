package scheduler

// zoneScore prefers zones that are less used, by the weight of the work completed while a zone
// leaves: the less is in one zone, the less must move.
type zoneScore struct{}

func (zoneScore) name() string { return "zone" }

func (zoneScore) rate(c *cycle, _ *candidate, n *node) float64 {
	return -c.weights.ZoneWork * min(1, share(c.zoneUse[n.Zone], c.zoneSize[n.Zone]))
}
