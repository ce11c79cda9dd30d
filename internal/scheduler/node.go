package scheduler

import (
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// node is a worker with the resources and tasks counted against it in one scheduling cycle.
type node struct {
	*Worker
	inService bool
	// free is the capacity less the declared sizes of all tasks, limited by the worker's own report.
	free resource.Quantity
	// expectedUse is the sum of the declared sizes corrected by the observed use.
	expectedUse resource.Quantity
	// terminating is the declared size of tasks that are being evicted or cancelled; reserved is that
	// of tasks that wait for this room.
	terminating, reserved resource.Quantity
	// terminatingUse and reservedUse are the expected use of the same tasks.
	terminatingUse, reservedUse resource.Quantity
	// classCounts is the number of tasks by class index; serviceClassCounts counts only service replicas.
	classCounts        []int
	serviceClassCounts []int
	probed             bool
	logSlowdown        float64
}

// assignable returns the free resources that can be assigned now without using reserved room.
func (n *node) assignable() resource.Quantity {
	expectedFree := n.free.Add(n.terminating).Sub(n.reserved)
	return minQuantity(n.free, expectedFree)
}

// minQuantity returns the component-wise minimum.
func minQuantity(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// expectedUseFits reports whether the expected use with the task stays within the worker's capacity.
// The expected use of the task itself is limited to that capacity, so that it fits on an empty worker.
func (n *node) expectedUseFits(t *candidate) bool {
	expected := minQuantity(t.expected, n.Capacity)
	return n.expectedUse.Add(expected).FitsIn(n.Capacity)
}

// futureRoom is the room on a worker after terminating tasks have ended.
type futureRoom struct {
	// free is the free capacity by declared sizes; use is the expected use that remains.
	free, use resource.Quantity
}

// futureRoom returns the unreserved room after the tasks that are being evicted or cancelled have ended.
func (n *node) futureRoom() futureRoom {
	return futureRoom{
		free: n.free.Add(n.terminating).Sub(n.reserved),
		use:  n.expectedUse.Sub(n.terminatingUse).Add(n.reservedUse),
	}
}

// afterRelease returns the room after one more task of the given size and expected use has ended.
func (r futureRoom) afterRelease(size, use resource.Quantity) futureRoom {
	return futureRoom{r.free.Add(size), r.use.Sub(use)}
}

// fits reports whether both the declared size and the expected use of a task fit into the room.
func (n *node) fits(t *candidate, room futureRoom) bool {
	return t.size.FitsIn(room.free) && room.use.Add(minQuantity(t.expected, n.Capacity)).FitsIn(n.Capacity)
}

// reserve reserves room for a task that waits until terminating tasks have ended.
func (n *node) reserve(t *candidate) {
	n.reserved = n.reserved.Add(t.size)
	n.reservedUse = n.reservedUse.Add(minQuantity(t.expected, n.Capacity))
}

// addTask counts a task that this plan assigns to the worker.
func (n *node) addTask(t *candidate) {
	n.free = n.free.Sub(t.size)
	n.expectedUse = n.expectedUse.Add(minQuantity(t.expected, n.Capacity))
	n.countTask(t.class, t.record.Spec.Kind, 1)
	n.probed = true
}

func (n *node) countTask(class int, kind task.Kind, delta int) {
	n.classCounts[class] += delta
	if kind == task.KindService {
		n.serviceClassCounts[class] += delta
	}
}

// utilisation returns the expected use of processors or memory relative to the capacity, whichever is
// higher, limited to 1.
func (n *node) utilisation() float64 {
	return min(1, max(
		fraction(n.expectedUse.MilliCPU, n.Capacity.MilliCPU),
		fraction(n.expectedUse.MemoryBytes, n.Capacity.MemoryBytes),
	))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
