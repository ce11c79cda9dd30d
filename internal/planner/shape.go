package planner

import (
	"time"

	"clementineflow/internal/job"
)

// shape is what decides where a task fits, apart from what its own job bounds.
type shape struct {
	service  string
	label    string
	filler   bool
	milliCPU int64
	memory   int64
	// accelerators is the number of whole devices.
	accelerators int64
	// image is set for fillers: how they press the runs beside them depends on it.
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

// covers reports whether a task of the other shape needs at least the room that one of this shape needs.
func (s shape) covers(other shape) bool {
	return s.service == other.service && s.label == other.label && s.filler == other.filler &&
		s.milliCPU <= other.milliCPU && s.memory <= other.memory &&
		s.accelerators <= other.accelerators
}

// blockedShapes are the shapes that fit nowhere during one pass.
type blockedShapes struct {
	// roomless are shapes for which no worker has the room, whatever their image.
	roomless []shape
	// held are shapes for which only the headroom is missing, each with the longest wait that did not suffice.
	held map[shape]time.Duration
}

// has reports whether a task of the shape that has waited so long certainly fits nowhere.
func (b *blockedShapes) has(s shape, waited time.Duration) bool {
	for _, known := range b.roomless {
		if known.covers(s) {
			return true
		}
	}
	failed, ok := b.held[s]
	return ok && waited <= failed
}

// add notes a shape that fits nowhere; roomless is set if no worker has the room.
func (b *blockedShapes) add(s shape, waited time.Duration, roomless bool) {
	if roomless {
		b.roomless = append(b.roomless, s)
		return
	}
	if b.held == nil {
		b.held = map[shape]time.Duration{}
	}
	b.held[s] = max(b.held[s], waited)
}
