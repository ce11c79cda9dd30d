package scheduler

// spreadSkew is by how many members of a group a zone or rack may exceed the emptiest usable one.
const spreadSkew = 1

// spread excludes zones and then racks that hold more of the group than the emptiest one among the
// workers that passed the other filters. It never excludes all of them.
func (c *cycle) spread(t *candidate, nodes []*node, excluded *tally) []*node {
	if t.group == "" || len(nodes) == 0 {
		return nodes
	}
	nodes = c.leastCrowded(nodes, excluded, func(n *node) int { return c.groups[groupPlace{t.group, n.Zone, ""}] })
	return c.leastCrowded(nodes, excluded, func(n *node) int { return c.groups[groupPlace{t.group, n.Zone, n.Rack}] })
}

func (c *cycle) leastCrowded(nodes []*node, excluded *tally, count func(*node) int) []*node {
	least := count(nodes[0])
	for _, n := range nodes[1:] {
		least = min(least, count(n))
	}
	kept := nodes[:0]
	for _, n := range nodes {
		if count(n) > least+spreadSkew {
			excluded[ReasonSpread]++
			continue
		}
		kept = append(kept, n)
	}
	return kept
}
