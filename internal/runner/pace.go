package runner

import (
	"context"
	"time"

	"clementineflow/internal/wire"
)

const (
	// fullPace is the pace of a run that is not held back, in percent.
	fullPace = 100
	// lowestPace is the smallest pace above a standstill.
	lowestPace = 10
	// paceStep is how much a pace rises at a time.
	paceStep = 15
	// highShare and lowShare are the shares of a latency target above which fillers are held back, and
	// below which they get their pace back.
	highShare = 0.85
	lowShare  = 0.6
	// adjustInterval is the time between two changes of the pace; the worker's figures are of about the
	// last half second.
	adjustInterval = 400 * time.Millisecond
)

// pacer holds the pace of the fillers on the worker.
type pacer struct {
	percent int
	// adjustedAt is when the pace was last set from a latency.
	adjustedAt time.Duration
	// pressed is set while fillers are held back.
	pressed bool
	// applied holds the pace that the worker has confirmed for each filler.
	applied map[string]appliedPace
}

// appliedPace is the pace of one run.
type appliedPace struct {
	run     uint32
	percent int
}

func newPacer() pacer { return pacer{percent: fullPace, applied: map[string]appliedPace{}} }

// sharing reports whether runs with a latency target share the worker with fillers.
func (p *pacer) sharing(runs map[string]*localRun) bool {
	serving, filling := false, false
	for _, local := range runs {
		if local.order != nil {
			serving = serving || local.order.LatencyTargetMillis > 0
			filling = filling || local.order.Filler
		}
	}
	return serving && filling
}

// adjust sets the pace by the worst latency among the runs with a target: it falls fast and rises slowly.
func (p *pacer) adjust(worst float64) {
	switch {
	case worst > 1:
		p.percent /= 4
	case worst > highShare:
		p.percent /= 2
	case worst < lowShare:
		p.percent = min(fullPace, p.percent+paceStep)
	}
	if worst > highShare && p.percent < lowestPace {
		p.percent = 0
	}
	p.pressed = p.percent < fullPace
}

// adjustPaces takes in the latencies of a look and paces the fillers.
func (a *Agent) adjustPaces(ctx context.Context, look Look) {
	a.mu.Lock()
	worst, serving := a.worstLatencyLocked(look)
	now := a.config.Now()
	switch {
	case !serving:
		a.paces.percent, a.paces.pressed = fullPace, false
	case now-a.paces.adjustedAt >= adjustInterval:
		a.paces.adjustedAt = now
		a.paces.adjust(worst)
	}
	target := a.targetLocked()
	changes := a.paceChangesLocked()
	a.mu.Unlock()
	for _, change := range changes {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.config.Worker.Pace(call, target, change.Task, change.Run, int(change.Percent))
		cancel()
		a.mu.Lock()
		if err != nil {
			delete(a.paces.applied, change.Task)
		}
		a.mu.Unlock()
	}
}

// worstLatencyLocked returns the highest ratio of a latency to its target.
func (a *Agent) worstLatencyLocked(look Look) (worst float64, serving bool) {
	for i := range look.Runs {
		state := &look.Runs[i]
		local := a.runs[state.Task]
		if local == nil || local.order == nil || local.run != state.Run || local.order.LatencyTargetMillis == 0 {
			continue
		}
		serving = true
		worst = max(worst, float64(state.Figure)/float64(local.order.LatencyTargetMillis))
	}
	return worst, serving
}

// paceChangesLocked returns the fillers whose pace differs from the one that is due.
func (a *Agent) paceChangesLocked() []wire.RunRow {
	var changes []wire.RunRow
	for task, local := range a.runs {
		if local.order == nil || !local.order.Filler || !local.settled {
			continue
		}
		applied, ok := a.paces.applied[task]
		if !ok || applied.run != local.run {
			applied = appliedPace{run: local.run, percent: fullPace}
		}
		if applied.percent == a.paces.percent {
			continue
		}
		a.paces.applied[task] = appliedPace{run: local.run, percent: a.paces.percent}
		changes = append(changes, wire.RunRow{Task: task, Run: local.run, Percent: uint8(a.paces.percent)})
	}
	for task := range a.paces.applied {
		if a.runs[task] == nil {
			delete(a.paces.applied, task)
		}
	}
	return changes
}
