package runner

import (
	"cmp"
	"slices"
	"time"

	"clementineflow/internal/wire"
)

const (
	// unknownAge is the reported age of a run whose start the agent has not seen, or that the worker has not confirmed: the
	// call may have been the first to find the worker gone. So is that of all runs if the time of the crash is not known.
	unknownAge = -1
	// maxCrashUncertainty is the longest time from the first failed call to the first sign of the end of the incarnation for
	// which the crash is taken to be at the first failed call. A worker can fail calls for long before it crashes.
	maxCrashUncertainty = 500 * time.Millisecond
)

// markStartSent records when the first start call of a run is sent.
func (a *Agent) markStartSent(local *localRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if local.startSentAt == 0 {
		local.startSentAt = a.config.Now()
	}
}

// clearStartSent records that no start call of a run has reached the worker.
func (a *Agent) clearStartSent(local *localRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	local.startSentAt = 0
}

// markFailingLocked records the first failed call since the worker's last answer.
func (a *Agent) markFailingLocked(now time.Duration) {
	if a.failingSince == 0 {
		a.failingSince = now
	}
}

// recordCrashLocked records a crash of the current incarnation of the worker with the runs that it ended. It does
// nothing if the worker had announced its end, or if no run was on it.
func (a *Agent) recordCrashLocked() {
	if a.worker.Leaving || a.leftAt != 0 || a.workerLost || !a.snapshotTaken {
		return
	}
	crash := &wire.WorkerCrash{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Runs: a.crashedRunsLocked()}
	if len(crash.Runs) == 0 {
		return
	}
	a.crash = crash
	a.config.Logger.Warn("worker crashed", "worker", a.worker.ID, "runs", len(crash.Runs),
		"youngest", crash.Runs[0].Task, "youngest_age_ms", crash.Runs[0].AgeMillis)
}

// crashTimeLocked returns when the worker crashed. It returns false if the worker failed calls long before the first sign
// of its end, so that the crash may lie anywhere between.
func (a *Agent) crashTimeLocked() (at time.Duration, ok bool) {
	now := a.config.Now()
	if a.failingSince == 0 {
		return now, true
	}
	endSeenAt := now
	if a.endSeenAt != 0 {
		endSeenAt = a.endSeenAt
	}
	return a.failingSince, endSeenAt-a.failingSince <= maxCrashUncertainty
}

// crashedRunsLocked returns the runs that a crash of the worker has ended, the youngest first and those of unknown age
// last.
func (a *Agent) crashedRunsLocked() []wire.CrashedRun {
	crashedAt, dated := a.crashTimeLocked()
	var runs []wire.CrashedRun
	for task, local := range a.runs {
		switch {
		case dated && local.startSentAt > 0 && local.startConfirmed:
			age := max(0, crashedAt-local.startSentAt)
			runs = append(runs, wire.CrashedRun{Task: task, Run: local.run, AgeMillis: age.Milliseconds()})
		case local.startSentAt > 0 || local.startConfirmed:
			runs = append(runs, wire.CrashedRun{Task: task, Run: local.run, AgeMillis: unknownAge})
		}
	}
	slices.SortFunc(runs, func(x, y wire.CrashedRun) int {
		return cmp.Or(cmp.Compare(uint64(x.AgeMillis), uint64(y.AgeMillis)), cmp.Compare(x.Task, y.Task))
	})
	return runs
}
