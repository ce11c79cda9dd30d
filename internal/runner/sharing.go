package runner

import (
	"cmp"
	"context"
	"slices"

	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

// adjustPaces takes in the latencies of a look and paces the fillers.
func (a *Agent) adjustPaces(ctx context.Context, look Look) {
	a.mu.Lock()
	a.servingNow = a.servingLocked(look)
	fillers := a.fillersLocked()
	a.paces.adjust(a.config.Now(), a.servingNow, fillers)
	changes := a.paces.changes(fillers)
	target := a.targetLocked()
	a.mu.Unlock()
	a.sendPaces(ctx, target, changes)
}

// sendPaces tells the worker the paces of fillers.
func (a *Agent) sendPaces(ctx context.Context, target Target, changes []paceChange) {
	for _, change := range changes {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.config.Worker.Pace(call, target, change.task, change.run, change.percent)
		cancel()
		if err != nil {
			a.mu.Lock()
			a.paces.failed(change)
			a.mu.Unlock()
		}
	}
}

// admitFiller brings a filler that has just started to the pace that the runs beside it allow.
func (a *Agent) admitFiller(ctx context.Context, local *localRun) {
	a.mu.Lock()
	if a.runs[local.task] != local || local.stopping || !local.order.Filler {
		a.mu.Unlock()
		return
	}
	filler := local.filler(a.worker.Capacity.MilliCPU)
	a.paces.admit(a.config.Now(), filler)
	changes := a.paces.changes([]fillerRun{filler})
	target := a.targetLocked()
	a.mu.Unlock()
	a.sendPaces(ctx, target, changes)
}

// filler returns the run as a filler on a worker with the processors.
func (l *localRun) filler(capacity int64) fillerRun {
	return fillerRun{
		task: l.task, run: l.run, image: l.order.Image,
		parts: interference.Parts(l.order.MilliCPU, capacity), used: interference.Parts(l.figure, capacity),
	}
}

// servingLocked returns the runs with a latency target in the look.
func (a *Agent) servingLocked(look Look) []servingRun {
	var serving []servingRun
	for i := range look.Runs {
		state := &look.Runs[i]
		local := a.runs[state.Task]
		if local == nil || local.order == nil || local.run != state.Run || local.order.LatencyTargetMillis == 0 {
			continue
		}
		serving = append(serving, servingRun{
			task: state.Task, image: local.order.Image, share: float64(state.Figure) / float64(local.order.LatencyTargetMillis),
		})
	}
	return serving
}

// fillersLocked returns the fillers on the worker, in a fixed order.
func (a *Agent) fillersLocked() []fillerRun {
	var fillers []fillerRun
	for _, local := range a.runs {
		if local.order != nil && local.order.Filler && local.settled && !local.stopping {
			fillers = append(fillers, local.filler(a.worker.Capacity.MilliCPU))
		}
	}
	slices.SortFunc(fillers, func(x, y fillerRun) int { return cmp.Compare(x.task, y.task) })
	return fillers
}

// reportProgress tells the coordinator how far the runs are and how they share the worker.
func (a *Agent) reportProgress() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || !a.complete {
		return
	}
	a.repeatEndsLocked()
	if len(a.runs) == 0 {
		return
	}
	now := a.config.Now()
	report := &wire.RunProgress{WorkerID: a.worker.ID, Born: a.worker.Born}
	for task, local := range a.runs {
		row := local.row
		row.Task, row.Run = task, local.run
		report.Runs = append(report.Runs, row)
		if held := a.paces.held(task, now); held > 0 {
			report.Held = append(report.Held, wire.HeldRow{Task: task, Run: local.run, Millis: held.Milliseconds()})
		}
	}
	report.Pressures = a.paces.pressures(a.servingNow, a.fillersLocked())
	for _, s := range a.servingNow {
		report.Loads = append(report.Loads, wire.LoadRow{Task: s.task, Load: float32(a.paces.model.Load(s.task))})
	}
	if len(report.Runs) > 0 || len(report.Loads) > 0 {
		a.sendLocked(report)
	}
}
