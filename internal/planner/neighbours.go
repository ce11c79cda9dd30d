package planner

import (
	"cmp"
	"slices"

	"clementineflow/internal/interference"
)

// neighbours summarizes by image the runs with a latency target on a worker. It is derived from the runs, and
// recomputed on access if it is stale.
type neighbours struct {
	stale   bool
	serving []servingImage
}

// servingImage summarizes the runs of one image with a latency target on a worker.
type servingImage struct {
	image string
	// left is the share of the shared resource that the most loaded of these runs has left beside the fillers
	// on the worker. It is negative if fillers have to be throttled.
	left float64
}

// neighboursOf returns the up-to-date neighbours of the agent's worker.
func (p *Planner) neighboursOf(a *agent) *neighbours {
	if a.neighbours.stale {
		p.refreshNeighbours(a)
	}
	return &a.neighbours
}

// refreshNeighbours recomputes the neighbours of the agent's worker from its runs.
func (p *Planner) refreshNeighbours(a *agent) {
	n := &a.neighbours
	n.stale = false
	n.serving = n.serving[:0]
	for r := range p.runsByIncarnation[a.incarnation] {
		if r.definition().LatencyTarget > 0 {
			n.addServing(r.definition().Image, usageLimit-r.run().loadOr(interference.DefaultLoad))
		}
	}
	if len(n.serving) == 0 {
		return
	}
	slices.SortFunc(n.serving, func(x, y servingImage) int { return cmp.Compare(x.image, y.image) })
	for r := range p.runsByIncarnation[a.incarnation] {
		if !r.definition().Filler {
			continue
		}
		for i := range n.serving {
			n.serving[i].left -= p.pressureOf(n.serving[i].image, r.definition(), a)
		}
	}
}

// addServing adds a run of the image that has the given share of the resource left.
func (n *neighbours) addServing(image string, left float64) {
	for i := range n.serving {
		if n.serving[i].image == image {
			n.serving[i].left = min(n.serving[i].left, left)
			return
		}
	}
	n.serving = append(n.serving, servingImage{image: image, left: left})
}

// matchImage reports whether runs with a latency target of the image are on the worker, and whether such runs
// of other images are.
func (n *neighbours) matchImage(image string) (same, others bool) {
	for i := range n.serving {
		ofImage := n.serving[i].image == image
		same, others = same || ofImage, others || !ofImage
	}
	return same, others
}
