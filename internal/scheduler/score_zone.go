package scheduler

// zoneScorer prefers zones with low processor use, by the weight of the work completed while a zone is
// drained: the less work a zone holds, the less has to move when it goes out of service.
type zoneScorer struct{}

func (zoneScorer) name() string { return "zone" }

func (zoneScorer) score(c *cycle, _ *candidate, n *node) float64 {
	return -c.weights.ZoneWork * min(1, fraction(c.zoneUseMilliCPU[n.Zone], c.zoneCapacityMilliCPU[n.Zone]))
}
