package scheduler

// spreadScorer prefers zones and racks with few members of the task's spread group.
type spreadScorer struct{}

// Score penalties per group member in the same zone and in the same rack.
const (
	spreadPerZone = 0.05
	spreadPerRack = 0.1
)

func (spreadScorer) name() string { return "spread" }

func (spreadScorer) score(c *cycle, t *candidate, n *node) float64 {
	if t.group == "" {
		return 0
	}
	zone := c.groupCounts[groupLocation{t.group, n.Zone, ""}]
	rack := c.groupCounts[groupLocation{t.group, n.Zone, n.Rack}]
	return -(spreadPerZone*float64(zone) + spreadPerRack*float64(rack))
}
