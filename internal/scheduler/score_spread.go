package scheduler

// spreadScore prefers zones and racks with few members of the task's group.
type spreadScore struct{}

// Parts of the spread score per member in the same zone and in the same rack.
const (
	spreadPerZone = 0.05
	spreadPerRack = 0.1
)

func (spreadScore) name() string { return "spread" }

func (spreadScore) rate(c *cycle, t *candidate, n *node) float64 {
	if t.group == "" {
		return 0
	}
	zone := c.groups[groupPlace{t.group, n.Zone, ""}]
	rack := c.groups[groupPlace{t.group, n.Zone, n.Rack}]
	return -(spreadPerZone*float64(zone) + spreadPerRack*float64(rack))
}
