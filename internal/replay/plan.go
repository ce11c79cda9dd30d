package replay

import (
	"slices"

	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// wakePlan plans soon, at least planPause after the last plan.
func (r *replayer) wakePlan() {
	if r.planPending {
		return
	}
	r.planPending = true
	r.after(r.plannedAt.Add(planPause).Sub(r.now), func() {
		r.planPending, r.plannedAt = false, r.now
		r.plan()
	})
}

// plan makes a plan and commits it. While the store is down nothing can be committed.
func (r *replayer) plan() {
	if !r.storeUp || !r.planNeeded() {
		return
	}
	plan := scheduler.MakePlan(r.snapshot(), r.random)
	for index := range plan.Assignments {
		r.assign(&plan.Assignments[index])
	}
	for index := range plan.Evictions {
		r.evict(&plan.Evictions[index])
	}
	for index := range plan.Unscheduled {
		r.explain(&plan.Unscheduled[index])
	}
}

func (r *replayer) planNeeded() bool {
	out := false
	if r.document != nil {
		for _, zone := range r.document.Zones {
			out = out || zone.OutOfService
		}
	}
	for _, record := range r.records {
		if record.State == task.StatePending || out && record.HasAssignment() {
			return true
		}
	}
	return false
}

// snapshot returns the scheduler's input; all shards are owned.
func (r *replayer) snapshot() *scheduler.Snapshot {
	snapshot := &scheduler.Snapshot{
		Now: r.now, Document: r.document, Model: r.model, Sizes: r.sizes, TeamUse: map[string]resource.Quantity{},
	}
	holdings := map[string][]*task.Record{}
	for _, record := range r.records {
		switch {
		case record.State == task.StatePending:
			snapshot.Pending = append(snapshot.Pending, record)
		case record.HasAssignment():
			holdings[record.Worker] = append(holdings[record.Worker], record)
			if scheduler.CountsAgainstQuota(record.Spec.Kind) {
				team := record.Spec.Team
				snapshot.TeamUse[team] = snapshot.TeamUse[team].Add(record.Spec.Size)
			}
		}
	}
	slices.SortFunc(snapshot.Pending, byID)
	for _, w := range sorted(r.workers) {
		slices.SortFunc(holdings[w.Name], byID)
		snapshot.Workers = append(snapshot.Workers, r.plannedWorker(w, holdings[w.Name]))
	}
	return snapshot
}

func (r *replayer) plannedWorker(w *worker, records []*task.Record) scheduler.Worker {
	planned := scheduler.Worker{
		Name: w.Name, Zone: w.Zone, Rack: w.Rack, Session: w.session, Capacity: w.Capacity,
		Connected: w.connected, Leaving: w.leaving, Health: r.health.Status(w.Name, r.now),
		FreeLimit: w.free, HasFreeLimit: w.hasFree, Observed: w.observed, LatencyRatio: w.latencyRatio,
	}
	for _, record := range records {
		holding := scheduler.AssignedTask{Record: record}
		if last, ok := r.progress[record.ID]; ok && last.attempt == record.Attempt {
			holding.ProgressPermille = last.permille
		}
		planned.AssignedTasks = append(planned.AssignedTasks, holding)
	}
	return planned
}

// assign commits an assignment if it still holds, and sends the start.
func (r *replayer) assign(a *scheduler.Assignment) {
	record, w := r.records[a.TaskID], r.workers[a.Worker]
	if record == nil || record.Attempt != a.Attempt || w == nil || !w.connected || w.leaving ||
		w.session != a.Session || !r.zoneInService(w.Zone) {
		return
	}
	changed := record.Clone()
	if err := changed.Assign(a.Worker, a.Session, "assigned to "+a.Worker, r.now); err != nil {
		return
	}
	r.decide("assign task=%s attempt=%d worker=%s over=%s considered=%d score=%.6f excluded=%q",
		a.TaskID, changed.Attempt, a.Worker, a.RunnerUp, a.Considered, a.Total, scheduler.FormatCounts(a.Filtered))
	if r.health.Status(a.Worker, r.now) == scheduler.HealthProbe {
		r.health.RecordProbe(a.Worker, r.now)
	}
	r.store(changed)
	r.history.assigned = append(r.history.assigned, taskFact{
		at: r.now, taskID: a.TaskID, team: record.Spec.Team, worker: w.Name, zone: w.Zone,
	})
	r.noteAssigned(w)
	r.send(w, changed)
}

// noteAssigned records a worker to which more is assigned than its capacity.
func (r *replayer) noteAssigned(w *worker) {
	var assigned resource.Quantity
	for _, record := range r.records {
		if record.HasAssignment() && record.Worker == w.Name {
			assigned = assigned.Add(record.Spec.Size)
		}
	}
	if !assigned.FitsIn(w.Capacity) {
		r.history.overloads = append(r.history.overloads, overload{r.now, w.Name, false})
	}
}

// evict commits an eviction if it still holds, and sends it.
func (r *replayer) evict(e *scheduler.Eviction) {
	record := r.records[e.TaskID]
	if record == nil {
		return
	}
	changed := record.Clone()
	origin := task.Origin{Worker: e.Worker, Attempt: e.Attempt, Session: record.Session}
	if err := changed.EvictRequested(origin, "evicting: "+e.Cause.String(), r.now); err != nil {
		return
	}
	r.decide("evict task=%s attempt=%d worker=%s cause=%q for=%s destination=%s loss_permille=%d",
		e.TaskID, e.Attempt, e.Worker, e.Cause, e.For, e.Destination, e.LossPermille)
	r.store(changed)
	if w := r.workers[e.Worker]; w != nil && w.connected && w.attempts[e.TaskID] != nil {
		r.checkpoint(w, w.attempts[e.TaskID])
	}
}

// explain logs why a task is not scheduled, each time the reason changes.
func (r *replayer) explain(u *scheduler.Unscheduled) {
	text := u.Cause.String() + " " + scheduler.FormatCounts(u.Filtered)
	if r.waiting[u.TaskID] == text {
		return
	}
	r.waiting[u.TaskID] = text
	r.decide("wait task=%s cause=%s", u.TaskID, text)
}
