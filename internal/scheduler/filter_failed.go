package scheduler

// failedHereFilter excludes workers on which the task failed; see candidate.failedOn.
type failedHereFilter struct{}

func (failedHereFilter) check(t *candidate, n *node) Reason {
	if t.failedOn(n.Name) {
		return ReasonFailedHere
	}
	return 0
}
