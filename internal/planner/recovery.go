package planner

import "clementineflow/internal/job"

// Recovery counts the work of the time before the planner that has not resumed yet.
type Recovery struct {
	// Unadopted is the number of recorded runs that no agent has reported.
	Unadopted int
	// NotAtWork is the number of long-running tasks that could run and that no agent has reported at work.
	NotAtWork int
}

// Recovery returns what has not resumed of the jobs that were submitted before the term.
func (p *Planner) Recovery() Recovery {
	var found Recovery
	for _, e := range p.active {
		if e.submittedAt > p.termStart {
			continue
		}
		for step := range e.progress.Steps {
			for index := range e.progress.Steps[step] {
				found.add(ref{e, step, index})
			}
		}
	}
	return found
}

// add counts one task.
func (c *Recovery) add(r ref) {
	phase, current := r.task().Phase, r.run()
	assigned := phase == job.PhaseAssigned
	// A run that was ordered by this planner has a start time.
	if assigned && current.ordered && current.startedAt == 0 && !current.reported {
		c.Unadopted++
	}
	if !r.definition().LongRunning || !assigned && phase != job.PhaseWaiting || !r.entry.ready(r.step) {
		return
	}
	if !assigned || !current.reported || current.percent < fullPercent {
		c.NotAtWork++
	}
}
