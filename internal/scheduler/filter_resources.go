package scheduler

// resourcesFilter excludes workers without enough free resources. Declared sizes always count in full.
// The expected use must fit as well, so that tasks with too small declared sizes do not overload a
// worker.
type resourcesFilter struct{}

func (resourcesFilter) check(t *candidate, n *node) Reason {
	if reason := shortageReason(t.size, n.assignable()); reason != 0 {
		return reason
	}
	if !n.expectedUseFits(t) {
		return ReasonObservedUse
	}
	return 0
}
