package planner

import (
	"cmp"
	"slices"

	"clementineflow/internal/interference"
)

// neighbours sums up how the runs on a worker share it. It is derived from the runs and brought up to date
// when it is next needed.
type neighbours struct {
	stale   bool
	serving []servingImage
}

// servingImage sums up the runs with a latency target of one image on a worker.
type servingImage struct {
	image string
	// left is how much of the shared resource the most loaded of them has left beside the fillers there. It
	// is negative if fillers have to be held back.
	left float64
}

// neighboursOf returns how the runs on the agent's worker share it.
func (p *Planner) neighboursOf(a *agent) *neighbours {
	if a.neighbours.stale {
		p.refreshNeighbours(a)
	}
	return &a.neighbours
}

// refreshNeighbours sums up the runs on the agent's worker.
func (p *Planner) refreshNeighbours(a *agent) {
	n := &a.neighbours
	n.stale = false
	n.serving = n.serving[:0]
	for r := range p.lives[a.life] {
		if r.definition().LatencyTarget > 0 {
			n.addServing(r.definition().Image, aimedUsage-r.run().loadOr(interference.RestLoad))
		}
	}
	if len(n.serving) == 0 {
		return
	}
	slices.SortFunc(n.serving, func(x, y servingImage) int { return cmp.Compare(x.image, y.image) })
	for r := range p.lives[a.life] {
		if !r.definition().Filler {
			continue
		}
		for i := range n.serving {
			n.serving[i].left -= p.pressureOf(n.serving[i].image, r.definition(), a)
		}
	}
}

// addServing takes in a run of an image that has left so much.
func (n *neighbours) addServing(image string, left float64) {
	for i := range n.serving {
		if n.serving[i].image == image {
			n.serving[i].left = min(n.serving[i].left, left)
			return
		}
	}
	n.serving = append(n.serving, servingImage{image: image, left: left})
}

// has reports whether runs of the image serve on the worker, and whether runs of others do.
func (n *neighbours) has(image string) (same, others bool) {
	for i := range n.serving {
		ofImage := n.serving[i].image == image
		same, others = same || ofImage, others || !ofImage
	}
	return same, others
}
