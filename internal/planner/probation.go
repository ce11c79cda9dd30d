package planner

import (
	"time"

	"clementineflow/internal/job"
)

// A task that was blamed for a crash is suspected from then on. A suspected task starts on the worker with the fewest
// runs on which nothing else has just started, but not on the one that has crashed under it if there is another: a worker
// that crashes by itself would crash again, which says nothing about the task. For probationPeriod nothing else starts
// there, and only few other suspected tasks of its job elsewhere. If it crashes the next worker too, few runs are lost and
// nothing else can be the cause.

// crashes returns the crashes that are recorded for the task.
func (r ref) crashes() job.TaskCrashes { return r.entry.progress.CrashesOf(r.step, r.index) }

// suspected reports whether a crash of a worker was blamed on the task.
func (p *Planner) suspected(r ref) bool {
	return len(r.entry.progress.Crashes) > 0 && r.crashes().Blamed > 0
}

const (
	// probationPeriod is how long a suspected task starts alone. It is longer than startCrashWindow, since the start order
	// reaches the worker later than it is sent.
	probationPeriod = startCrashWindow + 100*time.Millisecond
	// suspectPatience is how long a suspected task waits for another worker than the one that has crashed under it, on which
	// nothing else has just started.
	suspectPatience = time.Second
	// crashedOnPenalty is subtracted from the score of the worker that has crashed under a suspected task. It is larger than
	// the number of runs on a worker.
	crashedOnPenalty = 1e6
	// maxJobProbations is the number of suspected tasks of one job that start at a time. All tasks of a job can crash
	// their workers.
	maxJobProbations = 4
)

// assignSuspected assigns a suspected task if a worker accepts it now. Otherwise the next pass tries its step again.
func (p *Planner) assignSuspected(r ref, options *options) {
	best := p.optionsForSuspected(r, options).best(r)
	if best == nil || p.activeProbations(r.entry) >= maxJobProbations {
		r.entry.steps[r.step].nextChange = 0
		return
	}
	p.placeTask(r, best)
	p.beginProbation(r, best.agent)
	options.removeAgent(best.agent)
}

// optionsForSuspected returns those options that accept a suspected task now, rated for it.
func (p *Planner) optionsForSuspected(r ref, all *options) *options {
	accepting := *all
	accepting.list = nil
	for _, candidate := range all.list {
		if !p.acceptsSuspected(r, candidate.agent) {
			continue
		}
		candidate.score = p.suspectedScore(candidate.agent)
		if candidate.agent.name == r.run().crashedOn || candidate.agent.crashes.looping(p.now) {
			candidate.score -= crashedOnPenalty
		}
		accepting.list = append(accepting.list, candidate)
	}
	return &accepting
}

// activeProbations returns the number of suspected tasks of the job that are on probation.
func (p *Planner) activeProbations(e *entry) int {
	active := 0
	for _, crashes := range e.progress.Crashes {
		if e.runs[crashes.Step][crashes.Index].probationEnds > p.now {
			active++
		}
	}
	return active
}

// acceptsSuspected reports whether a suspected task may start on the worker now.
func (p *Planner) acceptsSuspected(r ref, a *agent) bool {
	quiet := a.lastPlacementAt == 0 || p.now-a.lastPlacementAt >= probationPeriod
	return quiet && a.name != r.run().crashedOn || p.now-r.run().waitingSince >= suspectPatience
}

// suspectedScore rates a worker for a suspected task: a crash there should end few runs.
func (p *Planner) suspectedScore(a *agent) float64 {
	return -float64(len(p.runsByIncarnation[a.incarnation]))
}

// beginProbation keeps other starts away from the worker of a suspected task until it has survived its start.
func (p *Planner) beginProbation(r ref, a *agent) {
	r.run().probationEnds = p.now + probationPeriod
	a.penaltyEnds = max(a.penaltyEnds, r.run().probationEnds)
}
