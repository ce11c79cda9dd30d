package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/urgency"
)

// candidate is a step of a job with waiting tasks.
type candidate struct {
	entry *entry
	step  int
	rank  urgency.Rank
	// onlyOne is set if at most one task is placed.
	onlyOne bool
}

// assign assigns the waiting tasks of ready steps to workers, in the order of compareCandidates.
func (p *Planner) assign() {
	if p.operator.Config == nil {
		return
	}
	p.assigning = true
	defer func() { p.assigning, p.passShare.valid = false, false }()
	p.changes.expire(p.now)
	p.expireHolds()
	candidates := p.candidates()
	p.deferLongRunning(candidates)
	slices.SortStableFunc(candidates, p.compareCandidates)
	p.collectOwed(candidates)
	var blocked [toleranceCount]blockedShapes
	for _, c := range candidates {
		p.promoteHeld(c, &blocked)
		p.promoteBefore(c, &blocked)
		p.assignStep(c, &blocked)
	}
}

// candidates returns the ready steps with waiting tasks for which a worker may have become available since
// they were last tried.
func (p *Planner) candidates() []candidate {
	result := p.candidateBuffer[:0]
	upTo := p.changes.next()
	for _, e := range p.active {
		if e.waiting == 0 || e.progress.State.Final() {
			continue
		}
		first := len(result)
		for step := range e.steps {
			if e.steps[step].waiting > 0 && e.steps[step].nextChange < upTo && e.ready(step) {
				result = append(result, candidate{entry: e, step: step})
			}
		}
		if len(result) > first {
			rank := p.currentRank(e)
			for i := first; i < len(result); i++ {
				result[i].rank = rank
			}
		}
	}
	p.candidateBuffer = result
	return result
}

// priority returns the operator's priority of the job's queue.
func (p *Planner) priority(e *entry) int {
	if p.operator.Config == nil {
		return 0
	}
	if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok {
		return queue.Priority
	}
	return 0
}

// assignStep assigns as many waiting tasks of the step as fit. A shape that fits on no worker is not tried
// again in the same pass with the same tolerance.
func (p *Planner) assignStep(c candidate, blockedBy *[toleranceCount]blockedShapes) {
	definition := &c.entry.spec.Steps[c.step]
	key := newShape(p.service(c.entry), definition)
	accepted := p.acceptableWorkers(c)
	starving, blocked := accepted == throttlingWorkers && !definition.LongRunning, &blockedBy[accepted]
	if !starving && blocked.has(key, p.firstWait(c)) {
		return
	}
	state := &c.entry.steps[c.step]
	former, waiting := state.nextChange, state.waiting
	workers, all := p.changes.since(former)
	if all || starving {
		workers, all = p.workers, true
	}
	state.nextChange = p.changes.next()
	options := p.optionsFor(c.entry, c.step, workers, accepted)
	for index := range c.entry.progress.Steps[c.step] {
		r := ref{c.entry, c.step, index}
		if r.task().Phase != job.PhaseWaiting {
			continue
		}
		if c.onlyOne && state.waiting < waiting {
			// The other tasks are tried in the order of their job.
			state.nextChange = former
			return
		}
		if r.run().waitingSince == 0 {
			r.run().waitingSince = p.now
		}
		if p.suspected(r) && (!definition.LongRunning || accepted == soundWorkers) {
			p.assignSuspected(r, options)
			continue
		}
		best := options.best(r)
		if best == nil && p.now < r.run().yielded.until {
			// A worker that this task has just left may still take the other tasks.
			continue
		}
		if best == nil {
			if all && definition.MaxPerWorker == 0 && !options.held {
				blocked.add(key, p.now-r.run().waitingSince, len(options.list) == 0)
			}
			return
		}
		p.placeTask(r, best)
		if starving {
			// One throttled run is enough; the other tasks wait for capacity.
			state.nextChange = 0
			return
		}
		options.updateAfterPlacement(best)
	}
}

// firstWait returns how long the planner has tried to assign the first waiting task of the step.
func (p *Planner) firstWait(c candidate) time.Duration {
	for index := range c.entry.progress.Steps[c.step] {
		r := ref{c.entry, c.step, index}
		if r.task().Phase != job.PhaseWaiting {
			continue
		}
		if r.run().waitingSince == 0 {
			return 0
		}
		return p.now - r.run().waitingSince
	}
	return 0
}

// placeTask assigns a task to a worker. The start order is sent after the assignment is committed.
func (p *Planner) placeTask(r ref, chosen *option) {
	task, a := r.task(), chosen.agent
	r.entry.setPhase(r, job.PhaseAssigned)
	task.Run++
	task.Worker = a.incarnation
	former := *r.run()
	*r.run() = run{avoid: former.avoid, crashedOn: former.crashedOn, waitingSince: former.waitingSince, yielded: former.yielded}
	p.addAssignment(r, a.incarnation)
	a.lastPlacementAt = p.now
	p.passShare.valid = false
	p.recordPlacement(r.entry)
	if a.failuresInRow >= suspectAfter {
		a.beginProbe(r, p.now)
	}
	if r.entry.progress.State == job.StateQueued {
		r.entry.progress.State = job.StateRunning
	}
	p.markDirty(r.entry)
	r.entry.effects = append(r.entry.effects, effect{start: r, run: task.Run})
	fields := []any{
		"task", r.name(), "run", task.Run, "agent", a.name, "config", p.operator.Config.Version,
		"waited_ms", (p.now - former.waitingSince).Milliseconds(),
	}
	if r.definition().Filler {
		fields = append(fields, "headroom", roundToHundredths(chosen.headroom), "used_headroom", roundToHundredths(chosen.used))
	}
	p.log("task assigned", fields...)
}
