package experiment

import (
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// placementPolicy decides where tasks run.
type placementPolicy interface {
	// accept reports whether a job is taken on at submission.
	accept(spec *task.Spec) bool
	// plan decides about the records; it does not change them.
	plan(records []*task.Record) scheduler.Plan
	failed(a *attempt)
	succeeded(a *attempt)
	// usage takes a late report.
	usage(report *usageReport)
}

func newPlacementPolicy(r *run) placementPolicy {
	if r.variant.Placement == Product {
		return newProductPlacement(r)
	}
	return &firstFit{run: r}
}
