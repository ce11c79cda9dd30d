package planner

import (
	"cmp"
	"slices"

	"clementineflow/internal/job"
)

// stepSearch is the search for workers for the waiting tasks of one step.
type stepSearch struct {
	*options
	// firstWaiting is the index of the first waiting task, which is tried before the others.
	firstWaiting int
}

// searchForStep searches the workers for the step of a waiting task, as a placement does.
func (p *Planner) searchForStep(r ref) *stepSearch {
	tasks := r.entry.progress.Steps[r.step]
	return &stepSearch{
		options:      p.optionsFor(r.entry, r.step, p.workers, p.starving(r.entry)),
		firstWaiting: slices.IndexFunc(tasks, func(task job.Task) bool { return task.Phase == job.PhaseWaiting }),
	}
}

// explainPlacement determines why a waiting task was placed on none of the workers.
func (p *Planner) explainPlacement(s *stalledTask, search *stepSearch) {
	s.earlier = search.firstWaiting < s.index
	if s.run().waitingSince == 0 && s.earlier {
		s.reason = StallEarlierTask
		return
	}
	s.excluded = search.excluded
	accepting := search.options
	if p.suspected(s.ref) {
		accepting = p.optionsForSuspected(s.ref, search.options)
		s.excluded[StallJustStarted] = int32(len(search.list) - len(accepting.list))
	}
	switch {
	case !accepting.accept(s.ref):
		s.excluded[StallNoHeadroom] = int32(len(accepting.list))
		s.headroom = accepting.highestHeadroom()
		s.reason = cmp.Or(s.excluded.last(), StallNoWorker)
	case s.earlier:
		s.reason = StallEarlierTask
	default:
		s.reason = StallNotPlaced
	}
}

// accept reports whether one of the options is good enough for a task. A task that was not tried yet has not waited for
// headroom.
func (o *options) accept(r ref) bool {
	if r.run().waitingSince == 0 && r.definition().Filler && !o.allowThrottled {
		return len(o.list) > 0 && o.highestHeadroom() >= 0
	}
	return o.best(r) != nil
}

// highestHeadroom returns the highest headroom among the options, or zero if there are none.
func (o *options) highestHeadroom() float64 {
	if len(o.list) == 0 {
		return 0
	}
	highest := o.list[0].headroom
	for i := range o.list {
		highest = max(highest, o.list[i].headroom)
	}
	return highest
}
