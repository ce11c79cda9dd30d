package planner

import (
	"slices"

	"clementineflow/internal/job"
)

// candidate is a step of a job with waiting tasks.
type candidate struct {
	entry    *entry
	step     int
	priority int
	rank     rank
}

// assign places waiting tasks of ready steps on workers.
func (p *Planner) assign() {
	if p.operator.Config == nil {
		return
	}
	candidates := p.candidates()
	slices.SortStableFunc(candidates, compareCandidates)
	blocked := map[shape]bool{}
	for _, c := range candidates {
		p.assignStep(c, blocked)
	}
}

// candidates returns the ready steps with waiting tasks.
func (p *Planner) candidates() []candidate {
	var result []candidate
	for _, e := range p.active {
		if e.progress.State.Final() {
			continue
		}
		first := len(result)
		for step := range e.spec.Steps {
			if waitingTasks(e, step) && e.progress.Ready(e.spec, step) {
				result = append(result, candidate{entry: e, step: step, priority: p.priority(e)})
			}
		}
		if len(result) > first {
			rank := p.rank(e)
			for i := first; i < len(result); i++ {
				result[i].rank = rank
			}
		}
	}
	return result
}

func waitingTasks(e *entry, step int) bool {
	for index := range e.progress.Steps[step] {
		if e.progress.Steps[step][index].Phase == job.PhaseWaiting {
			return true
		}
	}
	return false
}

func (p *Planner) priority(e *entry) int {
	if queue, ok := p.operator.Config.Queue(e.spec.Queue); ok {
		return queue.Priority
	}
	return 0
}

// shape is what decides where a task fits, apart from what its own job bounds.
type shape struct {
	service  string
	label    string
	filler   bool
	milliCPU int64
	memory   int64
}

// assignStep places as many waiting tasks of the step as fit. A shape that fits nowhere is not tried
// again in the same pass.
func (p *Planner) assignStep(c candidate, blocked map[shape]bool) {
	definition := &c.entry.spec.Steps[c.step]
	key := shape{
		service: p.service(c.entry), label: definition.Label, filler: definition.Filler,
		milliCPU: definition.Need.MilliCPU, memory: definition.Need.MemoryBytes,
	}
	if blocked[key] {
		return
	}
	onWorker := p.perWorker(c)
	for index := range c.entry.progress.Steps[c.step] {
		r := ref{c.entry, c.step, index}
		if r.task().Phase != job.PhaseWaiting {
			continue
		}
		if r.run().waitingSince == 0 {
			r.run().waitingSince = p.now
		}
		best := p.choose(r, onWorker)
		if best == nil {
			blocked[key] = definition.MaxPerWorker == 0
			return
		}
		p.place(r, best)
		onWorker[best.name]++
	}
}

// perWorker counts the assigned tasks of a step by agent.
func (p *Planner) perWorker(c candidate) map[string]int {
	counts := map[string]int{}
	for index := range c.entry.progress.Steps[c.step] {
		task := &c.entry.progress.Steps[c.step][index]
		if task.Phase == job.PhaseAssigned {
			counts[task.Worker.Agent]++
		}
	}
	return counts
}

// place assigns a task to a worker. The start order follows the commit.
func (p *Planner) place(r ref, a *agent) {
	task := r.task()
	task.Phase = job.PhaseAssigned
	task.Run++
	task.Worker = a.life
	avoid, since := r.run().avoid, r.run().waitingSince
	*r.run() = run{avoid: avoid, waitingSince: since}
	p.hold(r, a.life)
	if a.failuresInRow >= suspectAfter {
		a.probing = true
	}
	if r.entry.progress.State == job.StateQueued {
		r.entry.progress.State = job.StateRunning
	}
	p.markDirty(r.entry)
	r.entry.effects = append(r.entry.effects, effect{start: r, run: task.Run})
	p.log("task assigned", "task", r.name(), "run", task.Run, "agent", a.name, "config", p.operator.Config.Version)
}
