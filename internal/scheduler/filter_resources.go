package scheduler

// resourcesFilter excludes workers without room. Declared sizes are always accounted in full; the
// expected use is checked in addition, so that underdeclared tasks do not overload a worker.
type resourcesFilter struct{}

func (resourcesFilter) check(t *candidate, n *node) Reason {
	if reason := shortage(t.size, n.usable()); reason != 0 {
		return reason
	}
	if !n.expectedFits(t) {
		return ReasonObservedUse
	}
	return 0
}
