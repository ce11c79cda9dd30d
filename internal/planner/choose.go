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
	// onlyImageScore, mixedImageScore and otherImageScore rate a worker for a run with a latency target: only
	// runs of its image serve there, also others, or only others. A worker on which nothing serves rates 0.
	// The free share of a worker, up to 1, is taken off.
	onlyImageScore  = 3
	mixedImageScore = 2.5
	otherImageScore = 1
	// otherRackPenalty is what a worker on another rack than the data's loses.
	otherRackPenalty = 1
	// avoidPenalty is what the worker loses on which the previous run failed or was lost.
	avoidPenalty = 4
	// patiencePerSecond is how much headroom a filler may lack for each second that it has waited.
	patiencePerSecond = 0.03
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
	return p.allowedBy(p.service(e), &e.spec.Steps[step], a)
}

// allowedBy is allowed for a caller that looks at many workers and has the service of the job's queue.
func (p *Planner) allowedBy(service string, definition *job.Step, a *agent) bool {
	_, out := p.operator.ZonesOut[a.zone]
	return a.up && a.ready && !a.leaving && !out &&
		a.service == service && a.hasLabel(definition.Label)
}

// idleCPU estimates the processors that neither reserved tasks nor fillers use, in thousandths.
func (a *agent) idleCPU() int64 {
	used := a.reserved.MilliCPU - int64((1-servingUse)*float64(a.servingCPU))
	return a.capacity.MilliCPU - used - a.fillerCPU
}

// score rates a worker that fits tasks of the step. headroom is that of a filler.
func (p *Planner) score(definition *job.Step, a *agent, headroom float64) float64 {
	score := 0.0
	switch {
	case definition.LatencyTarget > 0:
		score = p.servingScore(definition.Image, a)
	case definition.Filler:
		score = a.idleShare() + headroomWeight*headroom
	default:
		score = a.idleShare() + a.freeShare()
	}
	if definition.Rack != "" && !a.hasLabel(definition.Rack) {
		score -= otherRackPenalty
	}
	return score
}

// idleShare returns the part of the processors that nothing uses.
func (a *agent) idleShare() float64 {
	return float64(a.idleCPU()) / float64(max(a.capacity.MilliCPU, 1))
}

// freeShare returns the part of the processors that is not reserved.
func (a *agent) freeShare() float64 {
	return float64(a.free().MilliCPU) / float64(max(a.capacity.MilliCPU, 1))
}

// servingScore rates a worker for a run with a latency target. Such runs are packed on few workers, by
// image: fillers work freely on the workers without them, and beside a single image most fillers are
// harmless.
func (p *Planner) servingScore(image string, a *agent) float64 {
	same, others := p.neighboursOf(a).has(image)
	score := -a.freeShare()
	switch {
	case same && !others:
		score += onlyImageScore
	case same:
		score += mixedImageScore
	case others:
		score += otherImageScore
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
