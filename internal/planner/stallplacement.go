package planner

import (
	"cmp"
	"slices"

	"clementineflow/internal/job"
)

// stepSearch is the search for workers for the waiting tasks of one step.
type stepSearch struct {
	*options
	// top holds the option with the highest headroom, if there is one.
	top *options
	// firstWaiting is the index of the first waiting task, which is tried before the others.
	firstWaiting int
}

// searchForStep searches the workers for the step of a waiting task, as a placement does.
func (p *Planner) searchForStep(r ref) *stepSearch {
	tasks := r.entry.progress.Steps[r.step]
	found := p.optionsFor(r.entry, r.step, p.workers, p.acceptableWorkers(candidate{entry: r.entry, step: r.step}))
	return &stepSearch{
		options: found, top: found.withHighestHeadroom(),
		firstWaiting: slices.IndexFunc(tasks, func(task job.Task) bool { return task.Phase == job.PhaseWaiting }),
	}
}

// explainPlacement determines why a waiting task was placed on none of the workers.
func (p *Planner) explainPlacement(s *stalledTask, search *stepSearch) {
	s.earlier = search.firstWaiting < s.index
	s.excluded = search.excluded
	accepting, top := search.options, search.top
	if p.suspected(s.ref) {
		accepting = p.optionsForSuspected(s.ref, search.options)
		top = accepting.withHighestHeadroom()
		s.excluded[StallJustStarted] = int32(len(search.list) - len(accepting.list))
	}
	switch {
	case top.best(s.ref) == nil:
		s.excluded[StallNoHeadroom] = int32(len(accepting.list))
		if len(top.list) > 0 {
			s.headroom = top.list[0].headroom
		}
		s.reason = cmp.Or(s.excluded.last(), StallNoWorker)
	case s.earlier:
		s.reason = StallEarlierTask
	default:
		s.reason = StallNotPlaced
	}
}

// withHighestHeadroom returns the option with the highest headroom, or no options if there are none. It decides whether
// a task is accepted, at a fraction of the cost of all options.
func (o *options) withHighestHeadroom() *options {
	highest := *o
	highest.list = nil
	for i := range o.list {
		if highest.list == nil || o.list[i].headroom > highest.list[0].headroom {
			highest.list = o.list[i : i+1]
		}
	}
	return &highest
}
