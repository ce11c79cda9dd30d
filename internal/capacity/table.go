// Package capacity holds the agent's admission table: the only place where work is admitted to a
// worker. The table does no input or output and is not safe for concurrent use.
package capacity

import (
	"math"

	"github.com/pkg/errors"

	"clementineflow/internal/resource"
)

// Errors of the admission table. Each means that nothing was admitted.
var (
	// ErrFull reports a task that does not fit beside the admitted ones.
	ErrFull = errors.New("capacity: worker is full")
	// ErrInvalid reports a size or a limit that is negative.
	ErrInvalid = errors.New("capacity: negative quantity")
	// ErrAlreadyAdmitted reports an attempt that is already admitted.
	ErrAlreadyAdmitted = errors.New("capacity: attempt is already admitted")
	// ErrNoTarget reports a target that is not registered.
	ErrNoTarget = errors.New("capacity: no such target")
	// ErrBusy reports a target without a free slot or connection.
	ErrBusy = errors.New("capacity: target has no free slot or connection")
)

// TaskKey identifies one task attempt.
type TaskKey struct {
	TaskID  string
	Attempt uint32
}

// TargetKey identifies one target of the worker.
type TargetKey struct {
	Service string
	Address string
}

// Table admits tasks and requests to one worker. Admitted tasks never exceed the capacity. Adopted tasks may
// exceed it; no task is then admitted until enough of them have ended.
type Table struct {
	capacity resource.Quantity
	used     resource.Quantity
	tasks    map[TaskKey]resource.Quantity
	targets  map[TargetKey]*targetUsage
}

// NewTable returns an empty table of a worker without capacity.
func NewTable() *Table {
	return &Table{
		tasks:   map[TaskKey]resource.Quantity{},
		targets: map[TargetKey]*targetUsage{},
	}
}

// SetCapacity sets the capacity of the worker. Negative components count as zero.
func (t *Table) SetCapacity(capacity resource.Quantity) {
	t.capacity = floorAtZero(capacity)
}

// Capacity returns the capacity of the worker, without negative components.
func (t *Table) Capacity() resource.Quantity { return t.capacity }

// AdmitTask reserves the size for an attempt, or returns ErrInvalid, ErrAlreadyAdmitted or ErrFull.
func (t *Table) AdmitTask(key TaskKey, size resource.Quantity) error {
	if size.Validate() != nil {
		return ErrInvalid
	}
	if _, exists := t.tasks[key]; exists {
		return ErrAlreadyAdmitted
	}
	if !t.used.FitsIn(t.capacity) || !size.FitsIn(t.capacity.Sub(t.used)) {
		return ErrFull
	}
	t.AdoptTask(key, size)
	return nil
}

// AdoptTask accounts for an attempt that is already running, even if it exceeds the capacity.
func (t *Table) AdoptTask(key TaskKey, size resource.Quantity) {
	t.tasks[key] = floorAtZero(size)
	t.recomputeUsed()
}

// ReleaseTask frees the resources of an attempt; it has no effect if the attempt has none.
func (t *Table) ReleaseTask(key TaskKey) {
	delete(t.tasks, key)
	t.recomputeUsed()
}

// ReleaseAllTasks frees the resources of all attempts.
func (t *Table) ReleaseAllTasks() {
	clear(t.tasks)
	t.recomputeUsed()
}

// Used returns the sum of the sizes of all attempts.
func (t *Table) Used() resource.Quantity { return t.used }

// Free returns the quantity that may still be admitted. It is zero if any component is over capacity.
func (t *Table) Free() resource.Quantity {
	if !t.used.FitsIn(t.capacity) {
		return resource.Quantity{}
	}
	return t.capacity.Sub(t.used)
}

// recomputeUsed sums the sizes of all attempts. The sum is not updated incrementally, because adopted sizes can
// saturate it.
func (t *Table) recomputeUsed() {
	t.used = resource.Quantity{}
	for _, size := range t.tasks {
		t.used = saturatingAdd(t.used, size)
	}
}

// saturatingAdd adds quantities with non-negative components; a component is limited to math.MaxInt64.
func saturatingAdd(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     saturatingAddInt64(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  saturatingAddInt64(a.MemoryBytes, b.MemoryBytes),
		Accelerators: saturatingAddInt64(a.Accelerators, b.Accelerators),
	}
}

// saturatingAddInt64 adds two non-negative numbers; the sum is limited to math.MaxInt64.
func saturatingAddInt64(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// floorAtZero replaces negative components by zero.
func floorAtZero(q resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     max(q.MilliCPU, 0),
		MemoryBytes:  max(q.MemoryBytes, 0),
		Accelerators: max(q.Accelerators, 0),
	}
}
