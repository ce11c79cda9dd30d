// Package capacity holds the agent's admission table: the only place where work is admitted to a
// worker. It is pure and not safe for concurrent use.
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
	// ErrHeld reports an attempt that is admitted already.
	ErrHeld = errors.New("capacity: attempt is admitted already")
	// ErrNoTarget reports a target that is not registered.
	ErrNoTarget = errors.New("capacity: no such target")
	// ErrBusy reports a target without a free slot or connection.
	ErrBusy = errors.New("capacity: target has no free slot or connection")
)

// TaskKey names one task attempt.
type TaskKey struct {
	TaskID  string
	Attempt uint32
}

// TargetKey names one target of the worker.
type TargetKey struct {
	Service string
	Address string
}

// Table admits tasks and requests to one worker. Admitted work never exceeds the capacity; adopted work
// may, and then no task is admitted until enough of it has ended.
type Table struct {
	capacity resource.Quantity
	used     resource.Quantity
	tasks    map[TaskKey]resource.Quantity
	targets  map[TargetKey]*targetUse
}

// NewTable returns an empty table of a worker without capacity.
func NewTable() *Table {
	return &Table{
		tasks:   map[TaskKey]resource.Quantity{},
		targets: map[TargetKey]*targetUse{},
	}
}

// SetCapacity sets what the worker holds. Negative components count as zero.
func (t *Table) SetCapacity(capacity resource.Quantity) {
	t.capacity = floorAtZero(capacity)
}

// Capacity returns what the worker holds.
func (t *Table) Capacity() resource.Quantity { return t.capacity }

// AdmitTask reserves the size for an attempt, or returns ErrInvalid, ErrHeld or ErrFull.
func (t *Table) AdmitTask(key TaskKey, size resource.Quantity) error {
	if size.Validate() != nil {
		return ErrInvalid
	}
	if _, held := t.tasks[key]; held {
		return ErrHeld
	}
	if !t.used.FitsIn(t.capacity) || !size.FitsIn(t.capacity.Sub(t.used)) {
		return ErrFull
	}
	t.AdoptTask(key, size)
	return nil
}

// AdoptTask accounts for an attempt that is running already, whatever its size.
func (t *Table) AdoptTask(key TaskKey, size resource.Quantity) {
	t.tasks[key] = floorAtZero(size)
	t.sum()
}

// ReleaseTask frees what the attempt holds; it has no effect if the attempt holds nothing.
func (t *Table) ReleaseTask(key TaskKey) {
	delete(t.tasks, key)
	t.sum()
}

// ReleaseAllTasks frees what all attempts hold.
func (t *Table) ReleaseAllTasks() {
	clear(t.tasks)
	t.sum()
}

// Used returns the sum of the sizes of all attempts.
func (t *Table) Used() resource.Quantity { return t.used }

// Free returns what may still be admitted: nothing at all if a component is over capacity.
func (t *Table) Free() resource.Quantity {
	if !t.used.FitsIn(t.capacity) {
		return resource.Quantity{}
	}
	return t.capacity.Sub(t.used)
}

// sum recomputes the used quantity. It is not kept by addition and subtraction, because adopted sizes
// can saturate it.
func (t *Table) sum() {
	t.used = resource.Quantity{}
	for _, size := range t.tasks {
		t.used = saturatingAdd(t.used, size)
	}
}

// saturatingAdd adds quantities of non-negative components without overflow.
func saturatingAdd(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     saturate(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  saturate(a.MemoryBytes, b.MemoryBytes),
		Accelerators: saturate(a.Accelerators, b.Accelerators),
	}
}

// saturate adds two non-negative numbers, at most math.MaxInt64.
func saturate(a, b int64) int64 {
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
