package replay

import (
	"fmt"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// attempt is one run of a task at a worker.
type attempt struct {
	taskID  string
	number  uint32
	session task.Session
	spec    task.Spec
	run     *Run
	// done is the undisturbed run time that was completed by updatedAt.
	done      time.Duration
	updatedAt time.Time
	// generation numbers the planned ends; only that of the latest one happens.
	generation int
	// ending is set while the attempt is being checkpointed.
	ending bool
}

// use returns what the attempt really uses.
func (a *attempt) use() resource.Quantity {
	if a.run.Use.IsZero() {
		return a.spec.Size
	}
	return a.run.Use
}

// permille returns the completed work in thousandths.
func (a *attempt) permille() int {
	if a.run.Time <= 0 {
		return 0
	}
	return int(min(1000, 1000*a.done/time.Duration(a.run.Time)))
}

// send sends the start of a committed assignment.
func (r *replayer) send(w *worker, record *task.Record) {
	if r.runs[record.ID] == nil {
		return // the trace states the reports
	}
	number, session := record.Attempt, record.Session
	r.after(startDelay, func() { r.receiveStart(w, record.ID, number, session) })
}

// sendAgain sends what a record asks of its worker after a restored link.
func (r *replayer) sendAgain(w *worker, record *task.Record) {
	a := w.attempts[record.ID]
	switch {
	case a == nil && record.HasAssignment() && record.State != task.StateRunning:
		r.send(w, record)
	case a != nil && record.State == task.StateEvicting:
		r.checkpoint(w, a)
	case a != nil && record.State == task.StateCancelling:
		r.stop(w, a)
	}
}

// receiveStart handles a start at the worker. It checks what the agent checks apart from its
// capacity, so that an assignment beyond the capacity is seen by the outcome and not hidden.
func (r *replayer) receiveStart(w *worker, taskID string, number uint32, session task.Session) {
	record := r.records[taskID]
	if !w.alive || !w.connected || record == nil || record.Attempt != number || w.attempts[taskID] != nil {
		return
	}
	origin := report{worker: w, taskID: taskID, number: number, session: session}
	switch {
	case record.State == task.StateEvicting || record.State == task.StateCancelling:
		r.report(origin.as("stopped"))
	case record.State != task.StateAssigned:
	case session != w.session:
		r.report(origin.refused("stale session"))
	case w.leaving:
		r.report(origin.refused("leaving"))
	case !r.zoneInService(w.Zone):
		r.report(origin.refused("zone out of service"))
	default:
		r.begin(w, record)
	}
}

// begin runs an attempt at the worker.
func (r *replayer) begin(w *worker, record *task.Record) {
	run := r.runs[record.ID]
	a := &attempt{
		taskID: record.ID, number: record.Attempt, session: record.Session, spec: record.Spec, run: run,
		done: time.Duration(run.Time) * time.Duration(record.CheckpointPermille) / 1000, updatedAt: r.now,
	}
	r.noteStart(w, a)
	w.attempts[a.taskID] = a
	r.noteLoad(w)
	r.report(a.report(w, "started"))
	if a.spec.Kind == task.KindService {
		r.refresh()
	}
	switch {
	case w.faulty:
		r.planFailure(w, a, failDelay, "worker fault")
	case run.FailAfter > 0:
		r.planFailure(w, a, time.Duration(run.FailAfter), "job fault")
	default:
		r.planFinish(w, a)
	}
}

// noteStart records the start, and whether the task runs elsewhere.
func (r *replayer) noteStart(w *worker, a *attempt) {
	fact := taskFact{at: r.now, taskID: a.taskID, team: a.spec.Team, worker: w.Name, zone: w.Zone}
	r.history.started = append(r.history.started, fact)
	for _, other := range r.workers {
		if other.attempts[a.taskID] != nil {
			r.history.doubles = append(r.history.doubles, fact)
		}
	}
	if known := r.history.accepted[a.taskID]; known != nil && known.startAt.IsZero() {
		known.startAt = r.now
	}
}

// noteLoad records a worker that holds more than its capacity.
func (r *replayer) noteLoad(w *worker) {
	var declared, used resource.Quantity
	for _, a := range w.attempts {
		declared, used = declared.Add(a.spec.Size), used.Add(a.use())
	}
	if !declared.FitsIn(w.Capacity) {
		r.history.overloads = append(r.history.overloads, overload{r.now, w.Name, false})
	}
	if !used.FitsIn(w.Capacity) {
		r.history.overloads = append(r.history.overloads, overload{r.now, w.Name, true})
	}
}

// current reports whether the attempt still runs with the planned end.
func (w *worker) current(a *attempt, generation int) bool {
	return w.alive && w.attempts[a.taskID] == a && a.generation == generation
}

func (r *replayer) planFailure(w *worker, a *attempt, delay time.Duration, detail string) {
	generation := a.generation
	r.after(delay, func() {
		if !w.current(a, generation) {
			return
		}
		delete(w.attempts, a.taskID)
		failed := a.report(w, "failed")
		failed.detail = detail
		r.report(failed)
	})
}

// planFinish plans the end of the attempt from its remaining work and its share of processors.
func (r *replayer) planFinish(w *worker, a *attempt) {
	if a.run.Time <= 0 || w.faulty || a.run.FailAfter > 0 {
		return
	}
	a.generation++
	generation := a.generation
	remaining := time.Duration(a.run.Time) - a.done
	r.after(remaining*1000/time.Duration(w.share(a)), func() {
		if !w.current(a, generation) {
			return
		}
		delete(w.attempts, a.taskID)
		r.report(a.report(w, "finished"))
	})
}

// share returns the attempt's share of its processors, in thousandths; only batch work is throttled.
func (w *worker) share(a *attempt) int {
	if a.spec.Kind != task.KindBatch {
		return 1000
	}
	return w.policy.Share()
}

// advance accounts for the work done since the last change at the share.
func (r *replayer) advance(a *attempt, share int) {
	a.done += r.now.Sub(a.updatedAt) * time.Duration(share) / 1000
	a.updatedAt = r.now
}

// checkpoint begins the eviction of an attempt.
func (r *replayer) checkpoint(w *worker, a *attempt) {
	if a.ending {
		return
	}
	a.ending = true
	r.after(evictDelay, func() {
		if w.alive && w.attempts[a.taskID] == a {
			r.endEvicted(w, a)
		}
	})
}

// endEvicted ends an attempt with a checkpoint.
func (r *replayer) endEvicted(w *worker, a *attempt) {
	r.advance(a, w.share(a))
	if interval := time.Duration(a.run.Checkpoint); interval > 0 {
		a.done -= a.done % interval
	}
	delete(w.attempts, a.taskID)
	evicted := a.report(w, "evicted")
	evicted.checkpoint, evicted.progress = fmt.Sprintf("%s@%d", a.taskID, a.permille()), a.permille()
	r.report(evicted)
}

// stop ends an attempt without a checkpoint.
func (r *replayer) stop(w *worker, a *attempt) {
	r.after(stopDelay, func() {
		if w.alive && w.attempts[a.taskID] == a {
			delete(w.attempts, a.taskID)
			r.report(a.report(w, "stopped"))
		}
	})
}

// report returns a report about the attempt.
func (a *attempt) report(w *worker, event string) report {
	return report{worker: w, taskID: a.taskID, number: a.number, session: a.session, event: event}
}
