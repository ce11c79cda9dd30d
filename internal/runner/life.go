package runner

import (
	"clementineflow/internal/wire"
)

// Describe takes in a description of the worker. It returns false if the description is of a former life
// or older than the one known.
func (a *Agent) Describe(d Description) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.worker.ID == d.ID && a.worker.Born == d.Born:
		if d.Sequence < a.worker.Sequence {
			return false
		}
	case a.worker.ID != "" && d.Born < a.worker.Born:
		a.config.Logger.Warn("description of a former life of the worker ignored", "worker", d.ID, "born", d.Born, "known_born", a.worker.Born)
		return false
	default:
		a.beginLifeLocked(d)
	}
	changed := a.worker.Leaving != d.Leaving || a.worker.Capacity != d.Capacity || a.worker.Service != d.Service
	if d.Leaving && !a.worker.Leaving {
		a.config.Logger.Info("worker is leaving", "worker", d.ID, "remaining_ms", d.Remaining.Milliseconds())
	}
	a.worker = d
	a.lease.observe(d.Clock, a.config.Now())
	if changed && a.complete {
		a.reportLocked()
	}
	return true
}

// beginLifeLocked forgets everything of the worker's former life.
func (a *Agent) beginLifeLocked(d Description) {
	a.config.Logger.Info("worker begins a life", "worker", d.ID, "born", d.Born, "former", a.worker.ID, "former_born", a.worker.Born, "runs_lost", len(a.runs))
	if a.worker.ID != "" {
		a.lives++
	}
	a.worker = Description{ID: d.ID, Born: d.Born}
	a.resetLifeLocked()
	// Nothing can start until the new life has been looked at; the coordinator is told so.
	a.reportLocked()
	a.wakeLocked()
}

// resetLifeLocked drops the runs and ends of a life of the worker.
func (a *Agent) resetLifeLocked() {
	a.runs = map[string]*localRun{}
	a.ends = newEndList()
	a.absent = map[string]uint32{}
	a.complete, a.lost, a.verified = false, false, false
	a.lookClock, a.refusedSince = 0, 0
	a.answeredAt = a.config.Now()
	a.paces.reset()
	a.servingNow = nil
	a.lease.forgetClock()
}

// Left takes in that the worker has ended.
func (a *Agent) Left(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.ID != id {
		return
	}
	a.config.Logger.Info("worker has left", "worker", id, "runs", len(a.runs))
	a.loseLocked("worker has left")
}

// loseLocked reports all runs as absent: the worker's life is over, or its lease has ended.
func (a *Agent) loseLocked(reason string) {
	a.lost = true
	for task, local := range a.runs {
		a.sendAbsentLocked(task, local.run, reason)
	}
	a.runs = map[string]*localRun{}
	a.reportLocked()
}

// sendAbsentLocked tells the coordinator that a run is not there and never will be.
func (a *Agent) sendAbsentLocked(task string, run uint32, reason string) {
	a.absent[task] = max(a.absent[task], run)
	a.sendLocked(&wire.RunAbsent{WorkerID: a.worker.ID, Born: a.worker.Born, Task: task, Run: run, Reason: reason})
}

// reportLocked describes the worker to the coordinator.
func (a *Agent) reportLocked() {
	if a.conn == nil {
		return
	}
	report := &wire.AgentReport{Agent: a.config.Name}
	if a.worker.ID != "" && a.complete && !a.lost {
		report = a.fullReportLocked()
		a.restarted = false
	}
	a.sendLocked(report)
}

// fullReportLocked returns the report of a worker that is known and answers.
func (a *Agent) fullReportLocked() *wire.AgentReport {
	report := &wire.AgentReport{
		Agent: a.config.Name, WorkerID: a.worker.ID, Born: a.worker.Born,
		Service: a.worker.Service, Zone: a.worker.Zone, Capacity: a.worker.Capacity, Labels: a.worker.Labels,
		Leaving: a.worker.Leaving, RemainingMillis: a.worker.Remaining.Milliseconds(),
		Ends: a.ends.pending(), Complete: true, Restarted: a.restarted,
	}
	for task, local := range a.runs {
		row := local.row
		row.Task, row.Run = task, local.run
		report.Runs = append(report.Runs, row)
	}
	return report
}
