package scheduler

// healthFilter excludes quarantined workers and allows one task per plan on a worker being probed.
type healthFilter struct{}

func (healthFilter) check(_ *candidate, n *node) Reason {
	if n.Health == HealthQuarantined || (n.Health == HealthProbe && n.probed) {
		return ReasonQuarantined
	}
	return 0
}
