package scheduler

import (
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/interference"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// AssignedTask is a task assigned to a worker by a record that the caller owns.
type AssignedTask struct {
	Record *task.Record
	// ProgressPermille is the last reported progress, in thousandths; 0 if unknown.
	ProgressPermille int
}

// Neighbour is a task that runs on a worker and whose record the caller does not own.
type Neighbour struct {
	Class string
	Kind  task.Kind
	Size  resource.Quantity
}

// Worker is the state of one worker as input of a plan.
type Worker struct {
	Name, Zone, Rack   string
	Session            task.Session
	Capacity           resource.Quantity
	Connected, Leaving bool
	Health             HealthStatus
	// AssignedTasks lists the tasks assigned by committed records.
	AssignedTasks []AssignedTask
	// Neighbours lists the other tasks that the worker reported.
	Neighbours []Neighbour
	// FreeLimit is the free capacity in the worker's own report, less the assignments that the report
	// does not yet include. It is ignored if HasFreeLimit is false.
	FreeLimit    resource.Quantity
	HasFreeLimit bool
	// Observed is the total observed use; zero if unknown.
	Observed resource.Quantity
	// LatencyRatio is the highest p99 latency of the worker's services relative to the objective;
	// zero if unknown.
	LatencyRatio float64
}

// Snapshot is the input of one plan. The scheduler does not modify it.
type Snapshot struct {
	Now      time.Time
	Workers  []Worker
	Pending  []*task.Record
	Document *configuration.Document
	Model    *interference.Model
	Sizes    *SizeEstimator
	// TeamUse is the sum of the declared sizes of the batch tasks and watches of each team in the region.
	TeamUse map[string]resource.Quantity
}
