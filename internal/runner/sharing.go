package runner

import (
	"cmp"
	"context"
	"slices"

	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

// adjustPaces adjusts the paces of the fillers to the latencies in a snapshot and sends the changes.
func (a *Agent) adjustPaces(ctx context.Context, snapshot Snapshot) {
	a.mu.Lock()
	a.serving = a.servingRunsLocked(snapshot)
	fillers := a.fillerRunsLocked()
	a.pacer.adjust(a.config.Now(), a.serving, fillers)
	changes := a.pacer.takeChanges(fillers)
	reliefs := a.pacer.relief.takeDecisions()
	target := a.targetLocked()
	a.mu.Unlock()
	a.logReliefs(reliefs)
	a.sendPaces(ctx, target, changes)
}

// logReliefs logs and counts decisions to pause fillers beside runs over their targets.
func (a *Agent) logReliefs(decisions []reliefDecision) {
	for _, d := range decisions {
		if d.all {
			pausedAll.Inc()
			a.config.Logger.Info("pausing all fillers: a run stays over its target", "for", d.serving, "latency_ratio", d.latencyRatio)
			continue
		}
		pausedLargest.Inc()
		a.config.Logger.Info("pausing the filler with the largest pressure on a run over its target", "task", d.filler, "for", d.serving,
			"latency_ratio", d.latencyRatio, "need", d.need, "others_at_work", d.others)
	}
}

// sendPaces sends changed paces to the worker. A pace whose call fails is sent again later.
func (a *Agent) sendPaces(ctx context.Context, target Target, changes []paceChange) {
	for _, change := range changes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.config.Worker.SetPace(callCtx, target, change.task, change.run, change.percent)
		cancel()
		if err != nil {
			a.mu.Lock()
			a.pacer.markUnsent(change)
			a.mu.Unlock()
		}
	}
}

// admitFiller sets the pace of a filler that has just started to what the serving runs allow.
func (a *Agent) admitFiller(ctx context.Context, local *localRun) {
	a.mu.Lock()
	if a.runs[local.task] != local || local.stopRequested || !local.startOrder.Filler {
		a.mu.Unlock()
		return
	}
	filler := local.asFiller(a.worker.Capacity.MilliCPU)
	a.pacer.admitFiller(a.config.Now(), filler)
	changes := a.pacer.takeChanges([]fillerRun{filler})
	target := a.targetLocked()
	a.mu.Unlock()
	a.sendPaces(ctx, target, changes)
}

// asFiller returns the run as a filler on a worker with the given capacity in thousandths of a processor.
func (l *localRun) asFiller(capacity int64) fillerRun {
	return fillerRun{
		task: l.task, run: l.run, image: l.startOrder.Image, workPerValue: float64(l.startOrder.WorkPerValue),
		partsAtFullPace: interference.Parts(l.startOrder.MilliCPU, capacity), partsUsed: interference.Parts(l.measurement, capacity),
	}
}

// servingRunsLocked returns the runs with a latency target in the snapshot.
func (a *Agent) servingRunsLocked(snapshot Snapshot) []servingRun {
	var serving []servingRun
	for i := range snapshot.Runs {
		state := &snapshot.Runs[i]
		local := a.runs[state.Task]
		if local == nil || local.startOrder == nil || local.run != state.Run || local.startOrder.LatencyTargetMillis == 0 {
			continue
		}
		serving = append(serving, servingRun{
			task: state.Task, image: local.startOrder.Image,
			latencyRatio: float64(state.Measurement) / float64(local.startOrder.LatencyTargetMillis),
		})
	}
	return serving
}

// fillerRunsLocked returns the running fillers on the worker, ordered by task.
func (a *Agent) fillerRunsLocked() []fillerRun {
	var fillers []fillerRun
	for _, local := range a.runs {
		if local.startOrder != nil && local.startOrder.Filler && local.startConfirmed && !local.stopRequested {
			fillers = append(fillers, local.asFiller(a.worker.Capacity.MilliCPU))
		}
	}
	slices.SortFunc(fillers, func(x, y fillerRun) int { return cmp.Compare(x.task, y.task) })
	return fillers
}

// sendProgress resends unrecorded ends that are due, and reports the progress of the runs, held-back fillers,
// pressures and loads to the coordinator.
func (a *Agent) sendProgress() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || !a.snapshotTaken {
		return
	}
	a.resendEndsLocked()
	if len(a.runs) == 0 {
		return
	}
	now := a.config.Now()
	report := &wire.RunProgress{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation}
	for task, local := range a.runs {
		row := local.row
		row.Task, row.Run = task, local.run
		report.Runs = append(report.Runs, row)
		if heldBack := a.pacer.heldBackFor(task, now); heldBack > 0 {
			report.Throttled = append(report.Throttled, wire.ThrottledRow{Task: task, Run: local.run, DurationMillis: heldBack.Milliseconds()})
		}
		if paused := a.pacer.pausedFor(task, now); paused > 0 {
			report.Paused = append(report.Paused, wire.ThrottledRow{Task: task, Run: local.run, DurationMillis: paused.Milliseconds()})
		}
	}
	report.Pressures = a.pacer.pressureRows(a.serving, a.fillerRunsLocked())
	for _, s := range a.serving {
		report.Loads = append(report.Loads, wire.LoadRow{Task: s.task, Load: float32(a.pacer.model.Load(s.task))})
	}
	if len(report.Runs) > 0 || len(report.Loads) > 0 {
		a.sendLocked(report)
	}
}
