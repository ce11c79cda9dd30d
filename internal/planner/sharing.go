package planner

import (
	"slices"
	"time"

	"clementineflow/internal/interference"
	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

const (
	// moveAfter is how long a filler is throttled before it is moved to a better worker.
	moveAfter = 900 * time.Millisecond
	// minMoveGain is the headroom that a filler must gain by a move to another worker.
	minMoveGain = 0.1
	// maxDiscardedPercent is the largest progress, in percent, that may be discarded by moving a filler without
	// checkpoints.
	maxDiscardedPercent = 25
)

// recordSharing records the pressures and loads that an agent reports, and moves fillers that were throttled
// for moveAfter.
func (p *Planner) recordSharing(a *agent, report *wire.RunProgress) {
	for _, row := range report.Pressures {
		p.pressures.update(a.name, row)
	}
	for _, row := range report.Loads {
		if r, ok := p.findTask(row.Task); ok {
			r.run().load = float64(row.Load)
		}
	}
	if len(report.Loads) > 0 || len(report.Pressures) > 0 {
		a.neighbours.stale = true
		p.changes.markChanged(a)
	}
	for i := range report.Throttled {
		p.moveIfBetter(a, &report.Throttled[i])
	}
	if p.options.YieldThrottled {
		a.paused.rows, a.paused.reportedAt = report.Paused, p.now
	}
}

// headroom returns the share of the shared resource that the most constrained run with a latency target on the
// worker would have left beside one more filler of the step. It is negative if the filler would be throttled. used is the
// largest share of what such a run has left that the filler would use, from 0 to 1.
func (p *Planner) headroom(filler *job.Step, a *agent) (tightest, used float64) {
	tightest = usageLimit
	for _, serving := range p.neighboursOf(a).serving {
		pressure := p.pressureOf(serving.image, filler, a)
		tightest = min(tightest, serving.left-pressure)
		used = max(used, min(1, pressure/max(serving.left, minMatchedHeadroom)))
	}
	return tightest, used
}

// currentHeadroom returns the share of the shared resource that the most constrained run with a latency target
// on the worker has left beside the fillers there.
func (p *Planner) currentHeadroom(a *agent) float64 {
	tightest := usageLimit
	for _, serving := range p.neighboursOf(a).serving {
		tightest = min(tightest, serving.left)
	}
	return tightest
}

// pressureOf returns the expected pressure of a filler on runs of an image on the agent's worker.
func (p *Planner) pressureOf(image string, filler *job.Step, a *agent) float64 {
	return p.pressures.expected(image, filler.Image) * interference.Parts(filler.Need.MilliCPU, a.capacity.MilliCPU)
}

// pressureRows returns the known pressures of a filler on the runs of a worker, which the worker's agent adopts. Agents report
// what they have adopted as their own, so the weight of kept pressures is bounded here again: otherwise it would grow from
// agent to agent without a measurement.
func (p *Planner) pressureRows(r ref, a *agent) []wire.PressureRow {
	var rows []wire.PressureRow
	for _, serving := range p.neighboursOf(a).serving {
		if row, ok := p.pressures.row(serving.image, r.definition().Image); ok {
			if p.pressures.kept(row) {
				row.Samples = min(row.Samples, maxLearnedSamples)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// moveIfBetter stops a filler that was throttled for moveAfter if another worker has more headroom, so that it
// resumes on another worker from its checkpoint.
func (p *Planner) moveIfBetter(a *agent, row *wire.ThrottledRow) {
	r, ok := p.movableFiller(a, row)
	if !ok || p.operator.Config == nil || row.DurationMillis < moveAfter.Milliseconds() || p.now < a.paused.nextStopAt {
		return
	}
	if !r.definition().Checkpoints && r.run().percent > maxDiscardedPercent {
		return
	}
	found := p.optionsFor(r.entry, r.step, p.workers, soundWorkers)
	lowest := p.currentHeadroom(a) + minMoveGain
	found.list = slices.DeleteFunc(found.list, func(candidate option) bool {
		// A held worker is the destination of another filler; without YieldThrottled there is none. With MatchFillers the
		// best worker may lack the gain in headroom although another one has it.
		return p.now < candidate.agent.paused.heldUntil || p.options.MatchFillers && candidate.headroom < lowest
	})
	better := found.best(r)
	if better == nil || better.agent == a || better.headroom < lowest {
		return
	}
	p.log("moving throttled filler", "task", row.Task, "from", a.name, "to_about", better.agent.name, "held_ms", row.DurationMillis,
		"percent", r.run().percent)
	p.sendAway(r, a, better.agent)
}

// movableFiller returns the task of a reported run, or false if the run is not the current one, is already stopping, or
// must not be interrupted.
func (p *Planner) movableFiller(a *agent, row *wire.ThrottledRow) (ref, bool) {
	r, ok := p.findTask(row.Task)
	if !ok {
		return ref{}, false
	}
	task, definition := r.task(), r.definition()
	if task.Phase != job.PhaseAssigned || task.Worker != a.incarnation || task.Run != row.Run || r.run().stopping {
		return ref{}, false
	}
	return r, !definition.LongRunning || definition.MaxUnavailable == 0
}

// sendAway stops a throttled filler, so that it resumes on another worker, which is probably the destination.
func (p *Planner) sendAway(r ref, a, destination *agent) {
	r.run().avoid = a.name
	if p.options.YieldThrottled {
		r.run().yielded = yieldedRun{agent: a.name, until: p.now + returnAfter}
		a.paused.nextStopAt = p.now + yieldInterval
		destination.paused.heldUntil = p.now + destinationHold
	}
	p.sendStop(r)
}

// Neighbours returns the images of the runs on the agent's worker in sorted order, for tests and the operators'
// tool.
func (p *Planner) Neighbours(agentName string) []string {
	var images []string
	for incarnation, runs := range p.runsByIncarnation {
		if incarnation.Agent != agentName {
			continue
		}
		for r := range runs {
			images = append(images, r.definition().Image)
		}
	}
	slices.Sort(images)
	return images
}
