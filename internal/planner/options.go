package planner

import "clementineflow/internal/job"

// option is a worker on which a task of a step may be placed.
type option struct {
	agent *agent
	// sameStep is the number of the step's tasks on the worker.
	sameStep int
	// score rates the worker for any task of the step; the highest is chosen.
	score float64
	// headroom is what the tightest run with a latency target there has left beside a filler of the step.
	headroom float64
}

// options are the workers that fit the tasks of one step, rated. They stay valid while only tasks of this
// step are placed.
type options struct {
	planner *Planner
	entry   *entry
	step    int
	list    []option
	// anyPace is set if a filler may go where it can only work at a low pace, or not yet at all.
	anyPace bool
}

// optionsFor returns the workers among the given ones that fit the step's tasks. A worker may be given more
// than once.
func (p *Planner) optionsFor(e *entry, step int, among []*agent, anyPace bool) *options {
	o := &options{planner: p, entry: e, step: step, list: p.optionBuffer[:0], anyPace: anyPace}
	definition := &e.spec.Steps[step]
	var counts map[*agent]int
	if definition.MaxPerWorker > 0 {
		counts = p.perWorker(e, step)
	}
	service := p.service(e)
	p.lookup++
	for _, a := range among {
		if a.lookup == p.lookup {
			continue
		}
		a.lookup = p.lookup
		if !p.allowedBy(service, definition, a) || p.now < a.penaltyEnds {
			continue
		}
		candidate := option{agent: a, sameStep: counts[a]}
		if o.rate(&candidate) {
			o.list = append(o.list, candidate)
		}
	}
	p.optionBuffer = o.list
	return o
}

// rate brings an option up to date and reports whether the worker still fits.
func (o *options) rate(candidate *option) bool {
	definition := &o.entry.spec.Steps[o.step]
	a := candidate.agent
	if definition.MaxPerWorker > 0 && candidate.sameStep >= definition.MaxPerWorker {
		return false
	}
	if a.suspected(o.planner.now) {
		return false
	}
	need := definition.Need
	if definition.Filler {
		if !o.anyPace && float64(a.idleCPU()) < minFillerShare*float64(need.MilliCPU) {
			return false
		}
		need.MilliCPU = 0
	}
	if !need.FitsIn(a.free()) {
		return false
	}
	if definition.Filler {
		candidate.headroom = o.planner.headroom(definition, a)
	}
	candidate.score = o.planner.score(definition, a, candidate.headroom)
	return true
}

// best returns the option for a task, or nil if none fits it.
func (o *options) best(r ref) *option {
	definition := r.definition()
	lowest := 0.0
	if definition.Filler {
		lowest = -patiencePerSecond * (o.planner.now - r.run().waitingSince).Seconds()
	}
	avoid := r.run().avoid
	var best *option
	var bestScore float64
	for i := range o.list {
		candidate := &o.list[i]
		if definition.Filler && !o.anyPace && candidate.headroom < lowest {
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

// used brings an option up to date after a task of the step was placed there.
func (o *options) used(chosen *option) {
	chosen.sameStep++
	if o.rate(chosen) {
		return
	}
	last := len(o.list) - 1
	*chosen = o.list[last]
	o.list = o.list[:last]
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
