package planner

import (
	"clementineflow/internal/job"
)

const (
	// servingUse is the part of its reservation that a task with a latency target is taken to use.
	// The rest is left to fillers.
	servingUse = 0.55
	// minFillerShare is the part of its processors that a filler must find unused on a worker.
	minFillerShare = 0.55
	// headroomWeight weighs the headroom that a filler leaves to runs with a latency target against a
	// worker's idle share.
	headroomWeight = 3
	// sameImageWeight and otherImageWeight rate each run with a latency target on a worker for another one.
	sameImageWeight  = 0.5
	otherImageWeight = 0.5
	// patiencePerSecond is how much headroom a filler may lack for each second that it has waited.
	patiencePerSecond = 0.3
)

// service returns the name of the workers' service of the job's queue. A queue that was removed keeps
// the service that it had at the hand-in.
func (p *Planner) service(e *entry) string {
	if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok {
		return queue.Service
	}
	return e.spec.Service
}

// allowed reports whether the operator's decisions and the step's own demands allow the worker.
func (p *Planner) allowed(e *entry, step int, a *agent) bool {
	_, out := p.operator.ZonesOut[a.zone]
	return a.up && a.ready && !a.leaving && !out &&
		a.service == p.service(e) && a.hasLabel(e.spec.Steps[step].Label)
}

// choose returns the best worker for a task, or nil if none fits.
func (p *Planner) choose(r ref, onWorker map[string]int) *agent {
	var best *agent
	var bestScore float64
	for _, a := range p.agents {
		if !p.fits(r, a, onWorker[a.name]) {
			continue
		}
		score := p.score(r, a)
		if best == nil || score > bestScore || score == bestScore && a.name < best.name {
			best, bestScore = a, score
		}
	}
	return best
}

// fits reports whether the worker may and can take the task now.
func (p *Planner) fits(r ref, a *agent, sameStep int) bool {
	definition := r.definition()
	if !p.allowed(r.entry, r.step, a) || p.now < a.penaltyEnds || a.suspected(p.now) {
		return false
	}
	if definition.MaxPerWorker > 0 && sameStep >= definition.MaxPerWorker {
		return false
	}
	need := definition.Need
	if definition.Filler {
		if float64(a.idleCPU()) < minFillerShare*float64(need.MilliCPU) {
			return false
		}
		need.MilliCPU = 0
		waited := (p.now - r.run().waitingSince).Seconds()
		if p.headroom(r, a) < -patiencePerSecond*waited {
			return false
		}
	}
	return need.FitsIn(a.free())
}

// idleCPU estimates the processors that neither reserved tasks nor fillers use, in thousandths.
func (a *agent) idleCPU() int64 {
	used := a.reserved.MilliCPU - int64((1-servingUse)*float64(a.servingCPU))
	return a.capacity.MilliCPU - used - a.fillerCPU
}

// score rates a worker that fits; the highest is chosen. Work is spread, so that tasks share a worker
// with as few others as possible.
func (p *Planner) score(r ref, a *agent) float64 {
	definition := r.definition()
	capacity := float64(max(a.capacity.MilliCPU, 1))
	score := float64(a.idleCPU()) / capacity
	if !definition.Filler {
		score += float64(a.free().MilliCPU) / capacity
	}
	if definition.Rack != "" && !a.hasLabel(definition.Rack) {
		score -= 1
	}
	if definition.Filler {
		score += headroomWeight * p.headroom(r, a)
	}
	if definition.LatencyTarget > 0 {
		score += p.company(r, a)
	}
	if a.name == r.run().avoid {
		score -= 4
	}
	return score
}

// company rates a worker for a run with a latency target: runs of one image are kept together, so that
// fillers which press them find other workers.
func (p *Planner) company(r ref, a *agent) float64 {
	score := 0.0
	for other := range p.lives[a.life] {
		switch {
		case other.definition().LatencyTarget == 0:
		case other.definition().Image == r.definition().Image:
			score += sameImageWeight
		default:
			score -= otherImageWeight
		}
	}
	return score
}

// Task returns the record of a task, for tests and the operators' tool.
func (p *Planner) Task(name string) (job.Task, bool) {
	r, ok := p.find(name)
	if !ok {
		return job.Task{}, false
	}
	return *r.task(), true
}
