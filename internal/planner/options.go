package planner

import (
	"slices"

	"clementineflow/internal/job"
)

// option is a worker on which a task of a step may be placed.
type option struct {
	agent *agent
	// sameStep is the number of the step's tasks on the worker.
	sameStep int
	// score rates the worker for any task of the step; the highest is chosen.
	score float64
	// headroom is the share of the resource that the most constrained run with a latency target on the worker
	// would have left beside one more filler of the step.
	headroom float64
	// used is the largest share of the headroom of such a run that the filler would use.
	used float64
}

// options are the rated workers on which tasks of one step fit. They stay valid as long as only tasks of this
// step are assigned.
type options struct {
	planner  *Planner
	entry    *entry
	step     int
	list     []option
	accepted workerTolerance
	// excluded counts the workers that are not in the list, by the first check that each has failed.
	excluded exclusions
	// held is set if a worker is not in the list only because it is held for another job.
	held bool
}

// optionsFor returns those of the given workers on which the step's tasks fit. The list of workers may contain
// duplicates.
func (p *Planner) optionsFor(e *entry, step int, workers []*agent, accepted workerTolerance) *options {
	o := &options{planner: p, entry: e, step: step, list: p.optionBuffer[:0], accepted: accepted}
	definition := &e.spec.Steps[step]
	var counts map[*agent]int
	if definition.MaxPerWorker > 0 {
		counts = p.perWorker(e, step)
	}
	service := p.service(e)
	p.searchID++
	for _, a := range workers {
		if a.searchID == p.searchID {
			continue
		}
		a.searchID = p.searchID
		if reason := p.excludeWorker(service, definition, a); reason != StallNone {
			o.excluded[reason]++
			continue
		}
		candidate := option{agent: a, sameStep: counts[a]}
		if reason := o.rate(&candidate); reason != StallNone {
			o.excluded[reason]++
			continue
		}
		if !definition.LongRunning && p.heldForEarlier(e, a) {
			o.excluded[StallNoRoom]++
			o.held = true
			continue
		}
		o.list = append(o.list, candidate)
	}
	p.optionBuffer = o.list
	return o
}

// excludeWorker returns why no task of the step may be placed on the worker now, whatever is free there, or StallNone.
func (p *Planner) excludeWorker(service string, definition *job.Step, a *agent) StallReason {
	switch {
	case p.allowedForService(service, definition, a):
		if p.now < a.penaltyEnds {
			return StallWorkerPaused
		}
		return StallNone
	case !a.available():
		return StallWorkerUnavailable
	default:
		return StallNotAllowed
	}
}

// rate updates the score and the headroom of an option and returns why no task of the step fits on the worker, or
// StallNone.
func (o *options) rate(candidate *option) StallReason {
	definition := &o.entry.spec.Steps[o.step]
	a := candidate.agent
	if definition.MaxPerWorker > 0 && candidate.sameStep >= definition.MaxPerWorker {
		return StallWorkerBound
	}
	suspected := a.suspected(o.planner.now)
	if suspected && o.accepted < suspectedWorkers {
		return StallWorkerSuspected
	}
	idle := float64(a.idleCPU())
	if definition.Filler && o.accepted < throttlingWorkers && idle < minFillerIdleShare*float64(definition.Need.MilliCPU) {
		return StallNoIdle
	}
	if !reservedNeed(definition).FitsIn(a.free()) {
		return StallNoRoom
	}
	if definition.Filler {
		candidate.headroom, candidate.used = o.planner.headroom(definition, a)
	}
	candidate.score = o.planner.score(definition, candidate)
	if suspected {
		candidate.score -= suspectedPenalty
	}
	if a.crashes.looping(o.planner.now) {
		candidate.score -= crashLoopPenalty
	}
	return StallNone
}

// best returns the option with the highest score for a task, or nil if there is none.
func (o *options) best(r ref) *option {
	definition := r.definition()
	lowest := 0.0
	if definition.Filler {
		lowest = -headroomSlackPerSecond * max(0, o.planner.now-r.run().waitingSince-fillerPatience).Seconds()
	}
	avoid := r.run().avoid
	var best *option
	var bestScore float64
	for i := range o.list {
		candidate := &o.list[i]
		if definition.Filler && o.accepted < throttlingWorkers && candidate.headroom < lowest {
			continue
		}
		if o.accepted < throttlingWorkers && r.run().yielded.excludes(candidate.agent, o.planner.now) {
			continue
		}
		score := candidate.score
		if avoid != "" && candidate.agent.name == avoid {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore || score == bestScore && candidate.agent.name < best.agent.name {
			best, bestScore = candidate, score
		}
	}
	return best
}

// updateAfterPlacement updates an option after a task of the step was assigned to its worker, and removes it
// if no further task fits.
func (o *options) updateAfterPlacement(chosen *option) {
	chosen.sameStep++
	if o.rate(chosen) == StallNone {
		return
	}
	last := len(o.list) - 1
	*chosen = o.list[last]
	o.list = o.list[:last]
}

// removeAgent removes the option of an agent's worker.
func (o *options) removeAgent(a *agent) {
	o.list = slices.DeleteFunc(o.list, func(candidate option) bool { return candidate.agent == a })
}

// perWorker counts the assigned tasks of a step by agent.
func (p *Planner) perWorker(e *entry, step int) map[*agent]int {
	counts := map[*agent]int{}
	for index := range e.progress.Steps[step] {
		task := &e.progress.Steps[step][index]
		if task.Phase == job.PhaseAssigned {
			counts[p.agents[task.Worker.Agent]]++
		}
	}
	return counts
}
