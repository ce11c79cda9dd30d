package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
)

// agent is the state of one agent and of the worker on its VM.
type agent struct {
	name string
	// connected is set while the coordinator has a connection on which the agent has reported.
	connected bool
	// ready is set if the agent's last report named a worker.
	ready bool
	// lost is set if the agent's last report stated that all runs that were started on its machine have ended.
	lost        bool
	incarnation job.WorkerIncarnation
	// endsTruncated is set while not all ends of this incarnation are known. Runs of former incarnations stay assigned
	// meanwhile: a start order can have reached this one before its agent detected it, and the run have ended.
	endsTruncated bool
	// authorityEnds is when the lease of the worker of a disconnected agent has expired at the latest.
	authorityEnds time.Duration

	service  string
	zone     string
	labels   []string
	capacity resource.Quantity
	leaving  bool
	leaveAt  time.Duration

	// reserved is the sum of the needs of assigned tasks, excluding the processors of fillers.
	reserved resource.Quantity
	// fillerCPU is the sum of the processors that assigned fillers can use, in thousandths of a core.
	fillerCPU int64
	// servingCPU is the reserved processors of tasks with a latency target, in thousandths of a core.
	servingCPU int64

	neighbours neighbours
	// searchID is the number of the latest search that considered the worker.
	searchID uint64

	// lastPlacementAt is when a task was last assigned to the worker, or zero.
	lastPlacementAt time.Duration

	penaltyEnds   time.Duration
	failuresInRow int
	crashes       crashHistory
	suspectEnds   time.Duration
	suspectPeriod time.Duration
	// probe is the latest run that was placed as a probe, or the zero ref once it has ended. It is the only run that the
	// suspected worker gets until probeEnds.
	probe     ref
	probeEnds time.Duration

	paused pausedFillers
}

// hasLabel reports whether the worker has the label; the empty label is on every worker.
func (a *agent) hasLabel(label string) bool {
	return label == "" || slices.Contains(a.labels, label)
}

// reserve adds a task's need if sign is 1, or releases it if sign is -1.
func (a *agent) reserve(step *job.Step, sign int64) {
	need := reservedNeed(step)
	if step.Filler || step.LatencyTarget > 0 {
		a.neighbours.stale = true
	}
	if step.Filler {
		a.fillerCPU += sign * step.Need.MilliCPU
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

// reservedNeed returns what one task of the step reserves on its worker: a filler reserves no processors.
func reservedNeed(step *job.Step) resource.Quantity {
	need := step.Need
	if step.Filler {
		need.MilliCPU = 0
	}
	return need
}

// free returns the capacity that is not reserved.
func (a *agent) free() resource.Quantity { return a.capacity.Sub(a.reserved) }

// resetFailures clears the failures of the worker after a successful run.
func (a *agent) resetFailures() {
	a.failuresInRow, a.crashes.inRow, a.probe = 0, 0, ref{}
	a.suspectEnds, a.suspectPeriod = 0, 0
}

// addFailure counts a failed run and reports whether the worker is suspected from now on.
func (a *agent) addFailure(now time.Duration) bool {
	a.failuresInRow++
	if a.failuresInRow < suspectAfter {
		return false
	}
	a.probe = ref{}
	a.suspectPeriod = min(max(2*a.suspectPeriod, suspectPeriod), maxSuspectPeriod)
	a.suspectEnds = now + a.suspectPeriod
	return true
}

// beginProbe records that a run is placed on a suspected worker after its pause.
func (a *agent) beginProbe(r ref, now time.Duration) {
	a.probe, a.probeEnds = r, now+probePeriod
}

// suspected reports whether the worker must not get a task now. After the pause it gets one task as a probe, and a
// further one whenever a probe has neither ended nor failed for probePeriod.
func (a *agent) suspected(now time.Duration) bool {
	if a.failuresInRow < suspectAfter {
		return false
	}
	return now < a.suspectEnds || a.probe.entry != nil && now < a.probeEnds
}
