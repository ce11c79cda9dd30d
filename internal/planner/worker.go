package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
)

// agent is what the planner knows of one agent and the worker beside it.
type agent struct {
	name string
	// up is set while the coordinator has a link to the agent on which it has reported.
	up bool
	// ready is set while the agent knows its worker.
	ready bool
	life  job.WorkerLife
	// authorityEnds is when a worker whose agent is not up has certainly lost its lease.
	authorityEnds time.Duration

	service  string
	zone     string
	labels   []string
	capacity resource.Quantity
	leaving  bool
	leaveAt  time.Duration

	// reserved is the sum of the needs of assigned tasks, without the processors of fillers.
	reserved resource.Quantity
	// fillerCPU is the sum of the processors that assigned fillers can use, in thousandths.
	fillerCPU int64
	// servingCPU is the part of reserved that belongs to tasks with a latency target.
	servingCPU int64

	neighbours neighbours
	// lookup is the number of the latest search that looked at the worker.
	lookup uint64

	penaltyEnds   time.Duration
	failuresInRow int
	suspectEnds   time.Duration
	suspectPeriod time.Duration
	probing       bool
}

// hasLabel reports whether the worker has the label; the empty label is on every worker.
func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.labels, label)
}

// reserve adds a task's need; sign is 1, or -1 to release it.
func (a *agent) reserve(step *job.Step, sign int64) {
	need := step.Need
	if step.Filler || step.LatencyTarget > 0 {
		a.neighbours.stale = true
	}
	if step.Filler {
		a.fillerCPU += sign * need.MilliCPU
		need.MilliCPU = 0
	}
	if step.LatencyTarget > 0 {
		a.servingCPU += sign * need.MilliCPU
	}
	if sign > 0 {
		a.reserved = a.reserved.Add(need)
	} else {
		a.reserved = a.reserved.Sub(need)
	}
}

// free returns the capacity that is not reserved.
func (a *agent) free() resource.Quantity { return a.capacity.Sub(a.reserved) }

// succeed notes a run that ended well.
func (a *agent) succeed() {
	a.failuresInRow, a.probing = 0, false
	a.suspectEnds, a.suspectPeriod = 0, 0
}

// fail notes a run that failed and reports whether the worker became suspected by it.
func (a *agent) fail(now time.Duration) bool {
	a.failuresInRow++
	if a.failuresInRow < suspectAfter {
		return false
	}
	a.probing = false
	a.suspectPeriod = min(max(2*a.suspectPeriod, suspectPeriod), maxSuspectPeriod)
	a.suspectEnds = now + a.suspectPeriod
	return true
}

// suspected reports whether the worker must not get a task now. After the pause one task probes it.
func (a *agent) suspected(now time.Duration) bool {
	if a.failuresInRow < suspectAfter {
		return false
	}
	return now < a.suspectEnds || a.probing
}
