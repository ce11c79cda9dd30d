package planner

import (
	"cmp"
	"slices"

	"clementineflow/internal/interference"
)

// neighbours summarizes the runs that share a worker: those with a latency target by image, and the fillers. It is
// derived from the runs, and recomputed on access if it is stale.
type neighbours struct {
	stale   bool
	serving []servingImage
	// fillers is empty without runs that have a latency target.
	fillers []neighbourFiller
}

// servingImage summarizes the runs of one image with a latency target on a worker.
type servingImage struct {
	image string
	// left is the share of the shared resource that the most loaded of these runs leaves to fillers.
	left float64
}

// neighbourFiller is a filler on a worker with its expected pressures on the serving images, in their order.
type neighbourFiller struct {
	run       ref
	pressures []float64
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
	n.fillers = n.fillers[:0]
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
		if r.definition().Filler {
			n.fillers = append(n.fillers, p.neighbourFiller(r, a))
		}
	}
	slices.SortFunc(n.fillers, func(x, y neighbourFiller) int { return compareRefs(x.run, y.run) })
}

// neighbourFiller returns a filler with its pressures on the serving images of the worker.
func (p *Planner) neighbourFiller(r ref, a *agent) neighbourFiller {
	filler := neighbourFiller{run: r, pressures: make([]float64, len(a.neighbours.serving))}
	for i := range a.neighbours.serving {
		filler.pressures[i] = p.pressureOf(a.neighbours.serving[i].image, r.definition(), a)
	}
	return filler
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
