package scheduler

import (
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// node is a worker during one plan.
type node struct {
	*Worker
	inService bool
	// free is the capacity less all declared sizes, limited by the worker's own report.
	free resource.Quantity
	// expectedUse is the sum of the sizes corrected by observation.
	expectedUse resource.Quantity
	// ending is held by tasks that are being evicted or stopped; promised is kept for tasks that
	// wait for that room.
	ending, promised resource.Quantity
	// endingUse and promisedUse are the expected use of the same tasks.
	endingUse, promisedUse resource.Quantity
	// classes counts the tasks by class index, serviceClasses only those of services.
	classes        []int
	serviceClasses []int
	probed         bool
	factor         float64
}

// usable returns what may be assigned now without taking room that was promised.
func (n *node) usable() resource.Quantity {
	later := n.free.Add(n.ending).Sub(n.promised)
	return lower(n.free, later)
}

// lower returns the component-wise minimum.
func lower(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// expectedFits reports whether the expected use stays within the worker. A task that is expected
// to use more than the worker has is limited to the worker's size.
func (n *node) expectedFits(t *candidate) bool {
	expected := lower(t.expected, n.Capacity)
	return n.expectedUse.Add(expected).FitsIn(n.Capacity)
}

// later is the room on a worker once tasks have ended.
type later struct {
	// free holds declared sizes, use the expected use that remains.
	free, use resource.Quantity
}

// later returns the room after the tasks that are being evicted or stopped have ended.
func (n *node) later() later {
	return later{
		free: n.free.Add(n.ending).Sub(n.promised),
		use:  n.expectedUse.Sub(n.endingUse).Add(n.promisedUse),
	}
}

// without returns the room after one more task has ended.
func (l later) without(size, use resource.Quantity) later {
	return later{l.free.Add(size), l.use.Sub(use)}
}

// fits reports whether both the declared size and the expected use of a task find room.
func (n *node) fits(t *candidate, room later) bool {
	return t.size.FitsIn(room.free) && room.use.Add(lower(t.expected, n.Capacity)).FitsIn(n.Capacity)
}

// promise keeps room for a task that waits for it.
func (n *node) promise(t *candidate) {
	n.promised = n.promised.Add(t.size)
	n.promisedUse = n.promisedUse.Add(lower(t.expected, n.Capacity))
}

// add accounts for a task that is placed on the worker by this plan.
func (n *node) add(t *candidate) {
	n.free = n.free.Sub(t.size)
	n.expectedUse = n.expectedUse.Add(lower(t.expected, n.Capacity))
	n.count(t.class, t.record.Spec.Kind, 1)
	n.probed = true
}

func (n *node) count(class int, kind task.Kind, delta int) {
	n.classes[class] += delta
	if kind == task.KindService {
		n.serviceClasses[class] += delta
	}
}

// utilisation returns the expected use of the scarcer of processors and memory, between 0 and 1.
func (n *node) utilisation() float64 {
	return min(1, max(
		share(n.expectedUse.MilliCPU, n.Capacity.MilliCPU),
		share(n.expectedUse.MemoryBytes, n.Capacity.MemoryBytes),
	))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
