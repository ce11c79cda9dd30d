package scheduler

// healthFilter excludes quarantined workers and allows one task on a worker that is probed.
type healthFilter struct{}

func (healthFilter) check(_ *candidate, n *node) Reason {
	if n.Health == HealthQuarantined || (n.Health == HealthProbe && n.probed) {
		return ReasonQuarantined
	}
	return 0
}
