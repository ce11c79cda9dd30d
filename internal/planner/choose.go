package planner

import (
	"time"

	"clementineflow/internal/job"
)

const (
	// servingUtilization is the assumed used share of the processors that a task with a latency target
	// reserves. The rest is available to fillers.
	servingUtilization = 0.55
	// minFillerIdleShare is the share of a filler's processors that must be idle on a worker.
	minFillerIdleShare = 0.55
	// headroomWeight is the weight of the headroom that a filler leaves to runs with a latency target, relative
	// to the worker's idle share.
	headroomWeight = 3
	// matchWeight is the weight of the share of headroom that a filler would use, relative to the worker's idle share.
	// Pressures differ by pair of images by a factor of up to 30, so a filler that goes where its share is small leaves the
	// room on other workers to fillers of other images.
	matchWeight = 1.5
	// minMatchedHeadroom is the least headroom by which such a share is computed, so that a run that has none left does not
	// outweigh all other differences.
	minMatchedHeadroom = 0.02
	// onlyImageScore, mixedImageScore and otherImageScore rate a worker for a run with a latency target. They
	// apply if the runs with latency targets on the worker are all of the same image, of this and other images,
	// or only of other images. The score is 0 without such runs. The free share of the worker, up to 1, is
	// subtracted.
	onlyImageScore  = 3
	mixedImageScore = 2.5
	otherImageScore = 1
	// besideServingBonus is added to the score of a worker with runs that have a latency target, for runs that neither
	// serve nor fill. It is larger than any difference of their other scores.
	besideServingBonus = 2
	// otherRackPenalty is subtracted from the score of a worker outside the rack of the step's data.
	otherRackPenalty = 1
	// avoidPenalty is subtracted from the score of the worker that the task should avoid after its previous run.
	avoidPenalty = 4
	// suspectedPenalty is subtracted from the score of a suspected worker. It is larger than any difference of the other
	// scores.
	suspectedPenalty = 16
	// crashLoopPenalty is subtracted from the score of a worker that crashes again and again: it is the last choice.
	crashLoopPenalty = 2 * suspectedPenalty
	// fillerPatience is how long a filler waits for a worker on which it is not expected to be throttled. Fillers
	// placed without headroom press on the runs there, and hold the room that the first jobs need.
	fillerPatience = 5 * time.Second
	// headroomSlackPerSecond is by how much the minimum headroom of a filler falls for each second that it has
	// waited beyond fillerPatience.
	headroomSlackPerSecond = 0.03
)

// service returns the name of the service whose workers run the jobs of the job's queue. If the queue was
// removed, it is the service that the queue had when the job was submitted.
func (p *Planner) service(e *entry) string {
	if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok {
		return queue.Service
	}
	return e.spec.Service
}

// allowed reports whether the worker is available and matches the operator's configuration and the step's
// label.
func (p *Planner) allowed(e *entry, step int, a *agent) bool {
	return p.allowedForService(p.service(e), &e.spec.Steps[step], a)
}

// allowedForService is like allowed, for callers that check many workers and have already determined the
// service of the job's queue.
func (p *Planner) allowedForService(service string, definition *job.Step, a *agent) bool {
	_, out := p.operator.ZonesOut[a.zone]
	return a.available() && !out &&
		a.service == service && a.hasLabel(definition.Label)
}

// available reports whether the agent is connected and its worker is ready for new tasks.
func (a *agent) available() bool { return a.connected && a.ready && !a.leaving }

// idleCPU estimates the unused processors of the worker, in thousandths of a core.
func (a *agent) idleCPU() int64 {
	used := a.reserved.MilliCPU - int64((1-servingUtilization)*float64(a.servingCPU))
	return a.capacity.MilliCPU - used - a.fillerCPU
}

// score rates a worker on which tasks of the step fit; higher is better.
func (p *Planner) score(definition *job.Step, candidate *option) float64 {
	score, a := 0.0, candidate.agent
	switch {
	case definition.LatencyTarget > 0:
		score = p.servingScore(definition.Image, a)
	case definition.Filler:
		score = a.idleShare() + headroomWeight*candidate.headroom
		if p.options.MatchFillers {
			score -= matchWeight * candidate.used
		}
	default:
		score = p.plainScore(a)
	}
	if definition.Rack != "" && !a.hasLabel(definition.Rack) {
		score -= otherRackPenalty
	}
	return score
}

// plainScore rates a worker for a run that neither serves nor fills. Beside runs with a latency target fillers can use
// few of the processors that are free, so such runs go there and leave the other workers to fillers.
func (p *Planner) plainScore(a *agent) float64 {
	score := a.idleShare() + a.freeShare()
	if len(p.neighboursOf(a).serving) > 0 {
		score += besideServingBonus
	}
	return score
}

// idleShare returns the estimated unused share of the processors.
func (a *agent) idleShare() float64 {
	return float64(a.idleCPU()) / float64(max(a.capacity.MilliCPU, 1))
}

// freeShare returns the share of the processors that is not reserved.
func (a *agent) freeShare() float64 {
	return float64(a.free().MilliCPU) / float64(max(a.capacity.MilliCPU, 1))
}

// servingScore rates a worker for a run with a latency target. Such runs are packed on few workers, grouped by
// image: fillers are not throttled on workers without them, and most fillers interfere little with a single
// image.
func (p *Planner) servingScore(image string, a *agent) float64 {
	same, others := p.neighboursOf(a).matchImage(image)
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

// Task returns a copy of a task's record, for tests and the operators' tool. It returns false if there is no
// such task.
func (p *Planner) Task(name string) (job.Task, bool) {
	r, ok := p.findTask(name)
	if !ok {
		return job.Task{}, false
	}
	return *r.task(), true
}
