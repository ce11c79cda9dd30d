package experiment

import (
	"slices"
	"time"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// wakePlan asks for a plan as soon as the pause since the last one is over.
func (r *run) wakePlan() {
	if r.planDue {
		return
	}
	r.planDue = true
	r.at(max(r.now, r.lastPlan+planPause), func() {
		if r.planDue {
			r.plan()
		}
	})
}

// plan decides about all records and commits the decisions after a delay.
func (r *run) plan() {
	r.planDue, r.lastPlan = false, r.now
	var open []*task.Record
	for _, record := range r.records {
		if !r.planned[record.ID] {
			open = append(open, record)
		}
	}
	plan := r.placement.plan(open)
	for _, assignment := range plan.Assignments {
		r.planned[assignment.TaskID] = true
		r.assigning[assignment.TaskID] = assignment.Worker
		r.after(commitDelay, func() { r.assign(assignment) })
	}
	for _, eviction := range plan.Evictions {
		r.planned[eviction.TaskID] = true
		r.after(commitDelay, func() { r.evictPlanned(eviction) })
	}
}

func (r *run) record(id string) *task.Record {
	index := slices.IndexFunc(r.records, func(record *task.Record) bool { return record.ID == id })
	if index < 0 {
		return nil
	}
	return r.records[index]
}

func (r *run) assign(a scheduler.Assignment) {
	delete(r.planned, a.TaskID)
	delete(r.assigning, a.TaskID)
	record := r.record(a.TaskID)
	if record == nil || record.Assign(a.Worker, a.Session, "", r.clock()) != nil {
		return
	}
	w := r.byName[a.Worker]
	if !w.fits(record.Spec.Size) || !r.document.ZoneInService(w.zone) {
		r.figures.RefusedStarts++
		_ = record.Refused(origin(record), "capacity", r.clock())
		return
	}
	r.start(record, w)
}

func origin(record *task.Record) task.Origin {
	return task.Origin{Worker: record.Worker, Attempt: record.Attempt, Session: record.Session}
}

// start runs an assigned task on a worker that has room for it.
func (r *run) start(record *task.Record, w *worker) {
	a := &attempt{record: record, number: record.Attempt, worker: w, use: record.Spec.Size, share: throttle.FullShare}
	if j, ok := r.jobs[record.ID]; ok {
		a.use, a.work, a.broken = j.use, j.work, j.broken
		a.done = a.work * time.Duration(record.CheckpointPermille) / 1000
		a.share = w.policy.Share()
	}
	r.advance(w)
	w.tasks = append(w.tasks, a)
	w.allocated = w.allocated.Add(record.Spec.Size)
	r.figures.allocated(w)
	urgentBatch := record.Spec.Priority == task.PriorityUrgent && record.Spec.Kind == task.KindBatch
	if urgentBatch && record.Evictions == 0 && len(record.Failures) == 0 {
		r.figures.UrgentWaits = append(r.figures.UrgentWaits, r.clock().Sub(record.CreatedAt))
	}
	_ = record.Started(origin(record), r.clock())
	r.changed(w)
	if record.Spec.Kind == task.KindBatch && (a.broken || w.failing) {
		r.after(failDelay, func() { r.fail(a) })
	}
}

// live reports whether the attempt still is on its worker.
func (a *attempt) live() bool { return slices.Contains(a.worker.tasks, a) }

func (r *run) fail(a *attempt) {
	if !a.live() {
		return
	}
	r.figures.lose(a, 0)
	r.remove(a)
	r.changed(a.worker)
	r.placement.failed(a)
	_ = a.record.Failed(origin(a.record), "failed", r.clock())
	r.settle(a.record)
}

func (r *run) finished(a *attempt) {
	r.figures.TasksDone++
	r.figures.TaskSeconds += a.work.Seconds()
	r.placement.succeeded(a)
	_ = a.record.Finished(origin(a.record), nil, r.clock())
	r.settle(a.record)
}

// settle drops a final record and plans again.
func (r *run) settle(record *task.Record) {
	if record.IsFinal() {
		r.records = slices.DeleteFunc(r.records, func(other *task.Record) bool { return other == record })
	}
	r.wakePlan()
}

func (r *run) evictPlanned(e scheduler.Eviction) {
	delete(r.planned, e.TaskID)
	record := r.record(e.TaskID)
	if record == nil || record.Attempt != e.Attempt || record.EvictRequested(origin(record), "", r.clock()) != nil {
		return
	}
	r.evict(r.attempt(record))
}

func (r *run) attempt(record *task.Record) *attempt {
	for _, a := range r.byName[record.Worker].tasks {
		if a.record == record {
			return a
		}
	}
	return nil
}

// evict stops an attempt after a checkpoint; it resumes from there with the next attempt.
func (r *run) evict(a *attempt) {
	if a == nil || a.stopping {
		return
	}
	a.stopping = true
	r.after(stopDelay, func() { r.stopped(a) })
}

func (r *run) stopped(a *attempt) {
	if !a.live() {
		return
	}
	r.advance(a.worker)
	saved := 0
	if a.work > 0 {
		kept := a.done / checkpointStep * checkpointStep
		saved = int(1000 * kept / a.work)
		r.figures.lose(a, a.work*time.Duration(saved)/1000)
	}
	r.remove(a)
	r.changed(a.worker)
	if a.kind() == task.KindBatch && a.record.State != task.StateCancelling {
		r.figures.Evictions++
	}
	_ = a.record.Evicted(origin(a.record), "checkpoint", saved, r.clock())
	r.settle(a.record)
}

func (r *run) cancel(record *task.Record) {
	if record.CancelRequested(r.clock()) != nil {
		return
	}
	if record.State == task.StateCancelling {
		r.evict(r.attempt(record))
	}
	r.settle(record)
}
