package worker

import (
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/runtime"
	"clementineflow/internal/task"
)

// statuses returns the status of all attempts in memory. Their usage is delayed by the usage lag.
func (r *Runtime) statuses(now time.Time) []runtime.Status {
	statuses := make([]runtime.Status, 0, len(r.tasks))
	for key, t := range r.tasks {
		status := t.status()
		status.Usage, status.UsageAge = r.usage.lookup(now, key)
		statuses = append(statuses, status)
	}
	return statuses
}

// runningSize returns the sum of the sizes of the running tasks.
func (r *Runtime) runningSize() resource.Quantity {
	var sum resource.Quantity
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			sum = sum.Add(t.request.Size)
		}
	}
	return sum
}

// SetFaults replaces the injected faults.
func (r *Runtime) SetFaults(faults Faults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = faults
}

// Neighbour describes a running task that can slow down other work on the same worker.
type Neighbour struct {
	Class    string
	MilliCPU int64
}

// Neighbours returns the class and the current CPU use of each running task.
func (r *Runtime) Neighbours() []Neighbour {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var neighbours []Neighbour
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			neighbours = append(neighbours, Neighbour{Class: t.request.Class, MilliCPU: t.usage().MilliCPU})
		}
	}
	return neighbours
}

// RuntimeState is the actual state of the runtime, for tests.
type RuntimeState struct {
	Session    task.Session      `json:"session"`
	Capacity   resource.Quantity `json:"capacity"`
	PeakSize   resource.Quantity `json:"peak_size"`
	Running    int               `json:"running"`
	Executions []Execution       `json:"executions"`
	// DoubleRuns counts starts that were refused because another attempt of the task was running.
	DoubleRuns int `json:"double_runs"`
}

// State updates the tasks and returns a copy of the actual state.
func (r *Runtime) State() RuntimeState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.advanceLocked(time.Now())
	running := 0
	for _, t := range r.tasks {
		if t.phase == runtime.PhaseRunning {
			running++
		}
	}
	return RuntimeState{
		Session:    r.session,
		Capacity:   r.config.Capacity,
		PeakSize:   r.peakSize,
		Running:    running,
		Executions: append([]Execution(nil), r.executions...),
		DoubleRuns: r.doubleRuns,
	}
}

// maxQuantity returns the component-wise maximum.
func maxQuantity(a, b resource.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
