package runner

import "github.com/VictoriaMetrics/metrics"

var missingRuns = metrics.NewCounter("clementine_runs_missing_total")

// beginPoll returns the number of a poll that is about to be sent.
func (a *Agent) beginPoll() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pollsBegun++
	return a.pollsBegun
}

// confirmStartLocked records that a run is, or was, on the worker.
func (a *Agent) confirmStartLocked(local *localRun) {
	if !local.startConfirmed {
		local.startConfirmed, local.confirmedAtPoll = true, a.pollsBegun
	}
}

// minMissedPolls is the number of answers in a row that must lack a run before it is stopped. One answer without its lists
// would otherwise end all work on the worker.
const minMissedPolls = 2

// stopMissingRunsLocked stops the runs that complete answers to polls neither list as active nor as ended, although the
// worker had confirmed their start before the polls were sent. Their ends will never be listed. The stop makes sure that no
// late call can start such a run; then it is reported as absent.
func (a *Agent) stopMissingRunsLocked(snapshot *Snapshot, poll uint64) {
	if !snapshot.complete() {
		return
	}
	for _, local := range a.runs {
		if !local.startConfirmed || local.confirmedAtPoll >= poll || local.listedInPoll == poll || local.stopInProgress {
			continue
		}
		local.missedPolls++
		if local.missedPolls < minMissedPolls {
			continue
		}
		missingRuns.Inc()
		a.config.Logger.Warn("run is missing on its worker", "task", local.task, "run", local.run, "worker", a.worker.ID)
		local.stopInProgress = true
		a.goroutines.Go(func() { a.finishStop(a.baseCtx, local, reasonMissing) })
	}
}
