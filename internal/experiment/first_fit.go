package experiment

import (
	"cmp"
	"slices"

	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// firstFit places each task on the first worker with room for its declared size, urgent ones first
// and otherwise in the order of submission. Replicas of a service are on different workers. Tasks in
// a zone out of service are evicted at once. It never makes room by evictions and learns nothing.
type firstFit struct{ *run }

func (f *firstFit) accept(*task.Spec) bool { return true }

func (f *firstFit) failed(*attempt)    {}
func (f *firstFit) succeeded(*attempt) {}
func (f *firstFit) usage(*usageReport) {}

func (f *firstFit) plan(records []*task.Record) scheduler.Plan {
	var plan scheduler.Plan
	free := map[string]resource.Quantity{}
	for _, w := range f.workers {
		free[w.name] = w.capacity.Sub(w.allocated)
	}
	team, _ := f.document.Team(f.deployment.BatchTeam)
	use, serving := f.held(free)
	pending := slices.DeleteFunc(slices.Clone(records), func(r *task.Record) bool { return r.State != task.StatePending })
	slices.SortStableFunc(pending, func(a, b *task.Record) int { return cmp.Compare(b.Spec.Priority, a.Spec.Priority) })
	for _, record := range pending {
		batch := record.Spec.Kind == task.KindBatch
		if f.clock().Before(record.NotBefore) || batch && !scheduler.WithinQuota(use.Add(record.Spec.Size), team.Quota) {
			continue
		}
		for _, w := range f.workers {
			service := record.Spec.Kind == task.KindService
			if !f.document.ZoneInService(w.zone) || !record.Spec.Size.FitsIn(free[w.name]) || service && serving[w.name] {
				continue
			}
			free[w.name] = free[w.name].Sub(record.Spec.Size)
			serving[w.name] = serving[w.name] || service
			if batch {
				use = use.Add(record.Spec.Size)
			}
			plan.Assignments = append(plan.Assignments, scheduler.Assignment{TaskID: record.ID, Attempt: record.Attempt, Worker: w.name})
			break
		}
	}
	f.leave(records, &plan)
	return plan
}

// held returns what the batch team holds and the workers with a replica. Assignments in the commit
// are taken from the free room.
func (f *firstFit) held(free map[string]resource.Quantity) (resource.Quantity, map[string]bool) {
	var use resource.Quantity
	serving := map[string]bool{}
	for _, w := range f.workers {
		for _, a := range w.tasks {
			switch a.kind() {
			case task.KindService:
				serving[w.name] = true
			case task.KindBatch:
				use = use.Add(a.record.Spec.Size)
			}
		}
	}
	for id, worker := range f.assigning {
		record := f.record(id)
		if record == nil {
			continue
		}
		free[worker] = free[worker].Sub(record.Spec.Size)
		switch record.Spec.Kind {
		case task.KindService:
			serving[worker] = true
		case task.KindBatch:
			use = use.Add(record.Spec.Size)
		}
	}
	return use, serving
}

func (f *firstFit) leave(records []*task.Record, plan *scheduler.Plan) {
	for _, record := range records {
		if record.State == task.StateRunning && !f.document.ZoneInService(f.byName[record.Worker].zone) {
			plan.Evictions = append(plan.Evictions, scheduler.Eviction{TaskID: record.ID, Attempt: record.Attempt, Worker: record.Worker})
		}
	}
}
