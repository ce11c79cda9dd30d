package planner

import (
	"time"

	"clementineflow/internal/job"
)

// workerTolerance is which workers a waiting task accepts. Each value includes the ones before it.
type workerTolerance int

const (
	// soundWorkers are not suspected and, for fillers, have headroom and idle processors.
	soundWorkers workerTolerance = iota
	// throttlingWorkers may throttle or stop a filler at first.
	throttlingWorkers
	// suspectedWorkers may also pause after failed runs.
	suspectedWorkers

	toleranceCount
)

// A long-running task has to run again within 6 s after its last run, and it can take most of that to learn that a worker
// is lost.
const (
	// longRunningPatience is how long a long-running task waits for a worker that won't throttle it, or on which it can
	// start alone if it is suspected.
	longRunningPatience = time.Second
	// soundnessPatience is how long it waits for a worker that is not suspected. It may fail any number of times.
	soundnessPatience = 2 * time.Second
)

// acceptableWorkers returns which workers the step accepts.
func (p *Planner) acceptableWorkers(c candidate) workerTolerance {
	if c.entry.spec.Steps[c.step].LongRunning {
		switch waited := p.longestWait(c); {
		case waited >= soundnessPatience:
			return suspectedWorkers
		case waited >= longRunningPatience:
			return throttlingWorkers
		}
	}
	if p.starving(c.entry) {
		return throttlingWorkers
	}
	return soundWorkers
}

// longestWait returns the longest wait of the step's waiting tasks. Those that the planner has not tried to assign before
// wait from now on, whether it gets to them in this pass or not.
func (p *Planner) longestWait(c candidate) time.Duration {
	longest := time.Duration(0)
	for index := range c.entry.progress.Steps[c.step] {
		r := ref{c.entry, c.step, index}
		if r.task().Phase != job.PhaseWaiting {
			continue
		}
		if r.run().waitingSince == 0 {
			r.run().waitingSince = p.now
		}
		longest = max(longest, p.now-r.run().waitingSince)
	}
	return longest
}
