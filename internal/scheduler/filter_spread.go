package scheduler

// maxSpreadSkew is the number of group members by which a zone or rack may exceed the eligible one with
// the fewest members before the task is added.
const maxSpreadSkew = 1

// filterBySpread excludes workers in zones, and then in racks, that exceed maxSpreadSkew. It compares
// only the zones and racks of the given workers and never excludes all of them.
func (c *cycle) filterBySpread(t *candidate, nodes []*node, excluded *reasonCounts) []*node {
	if t.group == "" || len(nodes) == 0 {
		return nodes
	}
	nodes = c.filterBySkew(nodes, excluded, func(n *node) int { return c.groupCounts[groupLocation{t.group, n.Zone, ""}] })
	return c.filterBySkew(nodes, excluded, func(n *node) int { return c.groupCounts[groupLocation{t.group, n.Zone, n.Rack}] })
}

// filterBySkew keeps the workers whose count is at most maxSpreadSkew above the lowest count.
func (c *cycle) filterBySkew(nodes []*node, excluded *reasonCounts, count func(*node) int) []*node {
	least := count(nodes[0])
	for _, n := range nodes[1:] {
		least = min(least, count(n))
	}
	kept := nodes[:0]
	for _, n := range nodes {
		if count(n) > least+maxSpreadSkew {
			excluded[ReasonSpread]++
			continue
		}
		kept = append(kept, n)
	}
	return kept
}
