package scheduler

import "time"

const (
	// quarantineFailures is the number of distinct tasks that fail in a row on a worker before it
	// is quarantined. Fewer failures may be caused by a single faulty job.
	quarantineFailures = 3
	// firstProbeDelay and maxProbeDelay bound the delay before a quarantined worker is probed with one
	// task; the delay doubles after each failed probe.
	firstProbeDelay = 30 * time.Second
	maxProbeDelay   = 10 * time.Minute
	// maxQuarantinedPermille limits the fraction of the workers in quarantine. If more workers fail,
	// the tasks are the more likely cause.
	maxQuarantinedPermille = 333
)

// HealthStatus tells how many tasks may be assigned to a worker.
type HealthStatus uint8

// Health states of a worker. A worker with HealthGood has no limit.
const (
	HealthGood HealthStatus = iota
	// HealthQuarantined takes no task.
	HealthQuarantined
	// HealthProbe takes one task.
	HealthProbe
)

type workerHealth struct {
	failedTasks   map[string]struct{}
	firstFailedAt time.Time
	quarantined   bool
	probeDelay    time.Duration
	probeAt       time.Time
	probing       bool
	probedAt      time.Time
}

// HealthTracker tracks failed attempts per worker and quarantines workers on which every task fails. It is not
// safe for concurrent use.
type HealthTracker struct{ workers map[string]*workerHealth }

// NewHealthTracker returns a HealthTracker without recorded failures.
func NewHealthTracker() *HealthTracker { return &HealthTracker{workers: map[string]*workerHealth{}} }

// RecordFailure records a failed attempt of the task on the worker, which may quarantine the worker.
// workerCount is the number of known workers.
func (h *HealthTracker) RecordFailure(worker, taskID string, workerCount int, now time.Time) {
	state, ok := h.workers[worker]
	if !ok {
		state = &workerHealth{failedTasks: map[string]struct{}{}, firstFailedAt: now}
		h.workers[worker] = state
	}
	state.failedTasks[taskID] = struct{}{}
	if state.quarantined {
		state.extendQuarantine(now)
		return
	}
	if len(state.failedTasks) >= quarantineFailures && h.mayQuarantine(workerCount) {
		state.quarantined, state.probeDelay = true, firstProbeDelay
		state.probeAt = now.Add(state.probeDelay)
	}
}

// extendQuarantine doubles the delay until the next probe after a failed probe. Failures of tasks that
// were started before the quarantine have no effect.
func (s *workerHealth) extendQuarantine(now time.Time) {
	if !s.probing {
		return
	}
	s.probing = false
	s.probeDelay = min(2*s.probeDelay, maxProbeDelay)
	s.probeAt = now.Add(s.probeDelay)
}

func (h *HealthTracker) mayQuarantine(workerCount int) bool {
	quarantined := 1
	for _, state := range h.workers {
		if state.quarantined {
			quarantined++
		}
	}
	return quarantined == 1 || quarantined*1000 <= workerCount*maxQuarantinedPermille
}

// RecordSuccess records a successful run on the worker and ends its quarantine. Runs that started before
// the first recorded failure are ignored, as they do not show that the worker can still start tasks.
func (h *HealthTracker) RecordSuccess(worker string, startedAt time.Time) {
	if state, ok := h.workers[worker]; ok && !startedAt.Before(state.firstFailedAt) {
		delete(h.workers, worker)
	}
}

// RecordProbe records that one task was assigned to a worker with HealthProbe.
func (h *HealthTracker) RecordProbe(worker string, now time.Time) {
	if state, ok := h.workers[worker]; ok && state.quarantined {
		state.probing, state.probedAt = true, now
	}
}

// Status returns the health status of the worker. A probe without an outcome is repeated after
// maxProbeDelay.
func (h *HealthTracker) Status(worker string, now time.Time) HealthStatus {
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

// RemoveWorker removes the recorded failures and the quarantine of the worker.
func (h *HealthTracker) RemoveWorker(worker string) { delete(h.workers, worker) }
