package runner

import (
	"slices"

	"clementineflow/internal/wire"
)

// UpdateStatus updates the agent with a status of the worker. It returns false if the status is of a previous
// incarnation or older than the current one. An incarnation counts as previous only if the newer one has answered a
// poll: the status of one that never existed must not hide the worker. Nor does it count as previous while it is the one
// that answers polls: the time of day may have gone back between two starts of the worker.
func (a *Agent) UpdateStatus(d WorkerStatus) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.worker.ID == d.ID && a.worker.Incarnation == d.Incarnation:
		if d.Sequence < a.worker.Sequence {
			return false
		}
	case a.snapshotTaken && d.Incarnation < a.worker.Incarnation && d.Incarnation != a.answeredBy:
		a.refusals.Warn("ignored a description of a previous worker incarnation",
			"worker", d.ID, "born", d.Incarnation, "known_born", a.worker.Incarnation)
		return false
	default:
		a.beginIncarnationLocked(d)
	}
	changed := a.worker.Leaving != d.Leaving || a.worker.Capacity != d.Capacity || a.worker.Service != d.Service ||
		a.worker.Zone != d.Zone || !slices.Equal(a.worker.Labels, d.Labels)
	if d.Leaving && !a.worker.Leaving {
		a.config.Logger.Info("worker is leaving", "worker", d.ID, "remaining_ms", d.Remaining.Milliseconds())
	}
	a.worker = d
	if changed && a.snapshotTaken {
		a.sendReportLocked()
	}
	return true
}

// beginIncarnationLocked switches to a new incarnation of the worker and drops the state of the previous
// one.
func (a *Agent) beginIncarnationLocked(d WorkerStatus) {
	a.config.Logger.Info("new worker incarnation", "worker", d.ID, "born", d.Incarnation,
		"former", a.worker.ID, "former_born", a.worker.Incarnation, "runs_lost", len(a.runs))
	if a.worker.ID != "" {
		a.incarnations++
	}
	a.recordCrashLocked()
	a.worker = WorkerStatus{ID: d.ID, Incarnation: d.Incarnation}
	a.resetIncarnationLocked()
	// Nothing can start before the first snapshot of the new incarnation; an incomplete report tells the
	// coordinator so.
	a.sendReportLocked()
	a.wakeLocked()
}

// resetIncarnationLocked drops all state of the worker's previous incarnation.
func (a *Agent) resetIncarnationLocked() {
	a.runs = map[string]*localRun{}
	a.ends = newEndList()
	a.absent = map[string]uint32{}
	a.snapshotTaken, a.endsKnown, a.workerLost, a.incarnationVerified = false, false, false, false
	a.answeredBy, a.endSeenAt = 0, 0
	a.snapshotClock, a.refusedSince, a.failingSince, a.leftAt = 0, 0, 0, 0
	a.answeredAt = a.config.Now()
	a.pacer.resetRuns()
	a.serving = nil
	a.lease.resetClock()
}

// reportWorkerLostLocked marks the worker as lost and reports all its runs as absent: its incarnation or its
// lease has ended. A coordinator that doesn't receive this learns of the loss from its first report, and asks for the
// runs by stop orders.
func (a *Agent) reportWorkerLostLocked(reason string) {
	a.workerLost = true
	// The report comes first: the coordinator counts a crash for the runs that are still assigned.
	a.sendReportLocked()
	for task, local := range a.runs {
		a.sendRunAbsentLocked(task, local.run, reason)
	}
	a.runs = map[string]*localRun{}
}

// sendRunAbsentLocked tells the coordinator that a run is not on the worker and will never start there.
func (a *Agent) sendRunAbsentLocked(task string, run uint32, reason string) {
	a.absent[task] = max(a.absent[task], run)
	a.sendLocked(&wire.RunAbsent{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Task: task, Run: run, Reason: reason})
}

// sendReportLocked sends the coordinator a report of the worker and its runs. The report names no worker
// while none is ready to start runs.
func (a *Agent) sendReportLocked() {
	if a.conn == nil {
		return
	}
	report := &wire.AgentReport{Agent: a.config.Name, Crash: a.crash, WorkerLost: a.workerLost}
	if a.worker.ID != "" && a.snapshotTaken && !a.workerLost {
		report = a.buildReportLocked()
	}
	a.reportedAt = a.config.Now()
	a.sendLocked(report)
}

// repeatReportLocked sends the report again once reportInterval has passed since the latest one.
func (a *Agent) repeatReportLocked() {
	if a.config.Now()-a.reportedAt >= reportInterval {
		a.sendReportLocked()
	}
}

// lacksOrdersLocked reports whether the agent has no order for a run on the worker, as after a restart. The order holds
// what the agent needs to protect the run from fillers.
func (a *Agent) lacksOrdersLocked() bool {
	for _, local := range a.runs {
		if local.startOrder == nil && !local.stopRequested {
			return true
		}
	}
	return false
}

// buildReportLocked returns the complete report of a worker that is ready to start runs.
func (a *Agent) buildReportLocked() *wire.AgentReport {
	report := &wire.AgentReport{
		Agent: a.config.Name, WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation,
		Service: a.worker.Service, Zone: a.worker.Zone, Capacity: a.worker.Capacity, Labels: a.worker.Labels,
		Leaving: a.worker.Leaving, RemainingMillis: a.worker.Remaining.Milliseconds(),
		Ends: a.ends.unconfirmedRows(), Complete: true, Restarted: a.lacksOrdersLocked(), Crash: a.crash,
		EndsTruncated: !a.endsKnown,
	}
	for task, local := range a.runs {
		row := local.row
		row.Task, row.Run = task, local.run
		report.Runs = append(report.Runs, row)
	}
	return report
}
