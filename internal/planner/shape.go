package planner

import (
	"time"

	"clementineflow/internal/job"
)

// shape holds the properties that decide on which workers a task fits, apart from the bounds of its own job.
type shape struct {
	service  string
	label    string
	filler   bool
	milliCPU int64
	memory   int64
	// accelerators is the number of whole devices.
	accelerators int64
	// image is set for fillers only: their pressure on other runs depends on it.
	image string
}

func newShape(service string, step *job.Step) shape {
	s := shape{
		service: service, label: step.Label, filler: step.Filler,
		milliCPU: step.Need.MilliCPU, memory: step.Need.MemoryBytes,
		accelerators: step.Need.Accelerators,
	}
	if step.Filler {
		s.image = step.Image
	}
	return s
}

// covers reports whether a task of the other shape needs at least the resources that one of this shape needs.
func (s shape) covers(other shape) bool {
	return s.service == other.service && s.label == other.label && s.filler == other.filler &&
		s.milliCPU <= other.milliCPU && s.memory <= other.memory &&
		s.accelerators <= other.accelerators
}

// blockedShapes are the shapes that were found to fit on no worker during one pass.
type blockedShapes struct {
	// noCapacity lists shapes for which no worker has the capacity, whatever their image.
	noCapacity []shape
	// noHeadroom holds shapes for which only the headroom is missing, with the longest wait of a task for which
	// the minimum headroom was still too high.
	noHeadroom map[shape]time.Duration
}

// has reports whether a task of the shape that has waited that long fits on no worker.
func (b *blockedShapes) has(s shape, waited time.Duration) bool {
	for _, known := range b.noCapacity {
		if known.covers(s) {
			return true
		}
	}
	failed, ok := b.noHeadroom[s]
	return ok && waited <= failed
}

// add records a shape that fits on no worker; noCapacity is set if no worker has the capacity.
func (b *blockedShapes) add(s shape, waited time.Duration, noCapacity bool) {
	if noCapacity {
		b.noCapacity = append(b.noCapacity, s)
		return
	}
	if b.noHeadroom == nil {
		b.noHeadroom = map[shape]time.Duration{}
	}
	b.noHeadroom[s] = max(b.noHeadroom[s], waited)
}
