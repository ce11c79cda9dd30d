package scheduler

// filter excludes workers that cannot take a task.
type filter interface {
	// check returns 0 if the worker may take the task, or the reason why not.
	check(t *candidate, n *node) Reason
}

// placementFilters are the filters that do not depend on free resources, in the order in which they are
// checked.
var placementFilters = []filter{
	connectedFilter{}, healthFilter{}, zoneServiceFilter{}, allowedZoneFilter{}, failedHereFilter{},
}

// firstReason returns the first reason that excludes the worker, or 0.
func firstReason(filters []filter, t *candidate, n *node) Reason {
	for _, f := range filters {
		if reason := f.check(t, n); reason != 0 {
			return reason
		}
	}
	return 0
}
