package scheduler

import "time"

const (
	// quarantineFailures is the number of distinct tasks that fail in a row on a worker before it
	// is quarantined; fewer could be the fault of one job.
	quarantineFailures = 3
	// firstProbeDelay and maxProbeDelay bound the doubling time until a quarantined worker is
	// tried again with one task.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// maxQuarantinedPermille bounds the part of the workers in quarantine: when more of them fail,
	// the tasks are the likelier cause.
	maxQuarantinedPermille = 333
)

// HealthStatus says what may be assigned to a worker.
type HealthStatus uint8

// Health states of a worker.
const (
	HealthGood HealthStatus = iota
	// HealthQuarantined takes no task.
	HealthQuarantined
	// HealthProbe takes one task.
	HealthProbe
)

type workerHealth struct {
	failed      map[string]struct{}
	firstFailed time.Time
	quarantined bool
	delay       time.Duration
	probeAt     time.Time
	probing     bool
	probedAt    time.Time
}

// Health finds workers that fail everything they start. It is not safe for concurrent use.
type Health struct{ workers map[string]*workerHealth }

// NewHealth returns a Health that knows no failures.
func NewHealth() *Health { return &Health{workers: map[string]*workerHealth{}} }

// Failed records a failed attempt; known is the number of known workers.
func (h *Health) Failed(worker, taskID string, known int, now time.Time) {
	state, ok := h.workers[worker]
	if !ok {
		state = &workerHealth{failed: map[string]struct{}{}, firstFailed: now}
		h.workers[worker] = state
	}
	state.failed[taskID] = struct{}{}
	if state.quarantined {
		state.extend(now)
		return
	}
	if len(state.failed) >= quarantineFailures && h.mayQuarantine(known) {
		state.quarantined, state.delay = true, firstProbeDelay
		state.probeAt = now.Add(state.delay)
	}
}

// extend doubles the quarantine after a failed probe. Failures of tasks that were started before
// the quarantine do not count.
func (s *workerHealth) extend(now time.Time) {
	if !s.probing {
		return
	}
	s.probing = false
	s.delay = min(2*s.delay, maxProbeDelay)
	s.probeAt = now.Add(s.delay)
}

func (h *Health) mayQuarantine(known int) bool {
	quarantined := 1
	for _, state := range h.workers {
		if state.quarantined {
			quarantined++
		}
	}
	return quarantined == 1 || quarantined*1000 <= known*maxQuarantinedPermille
}

// Succeeded records that a task ran well; the worker is readmitted. A task that was started before
// the first failure says nothing about later starts.
func (h *Health) Succeeded(worker string, startedAt time.Time) {
	if state, ok := h.workers[worker]; ok && !startedAt.Before(state.firstFailed) {
		delete(h.workers, worker)
	}
}

// Probed records that one task was assigned to a worker with HealthProbe.
func (h *Health) Probed(worker string, now time.Time) {
	if state, ok := h.workers[worker]; ok && state.quarantined {
		state.probing, state.probedAt = true, now
	}
}

// Status returns what may be assigned to the worker. A probe without an outcome is repeated after
// the longest delay.
func (h *Health) Status(worker string, now time.Time) HealthStatus {
	state, ok := h.workers[worker]
	switch {
	case !ok || !state.quarantined:
		return HealthGood
	case state.probing && now.Sub(state.probedAt) < maxProbeDelay:
		return HealthQuarantined
	case now.Before(state.probeAt):
		return HealthQuarantined
	default:
		return HealthProbe
	}
}

// Forget drops a worker that is gone.
func (h *Health) Forget(worker string) { delete(h.workers, worker) }
