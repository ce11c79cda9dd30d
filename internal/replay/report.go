package replay

import (
	"time"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// report is a worker's report about an attempt.
type report struct {
	worker     *worker
	taskID     string
	number     uint32
	session    task.Session
	event      string
	checkpoint string
	progress   int
	detail     string
}

func (e report) as(event string) report {
	e.event = event
	return e
}

func (e report) refused(detail string) report {
	e.event, e.detail = "refused", detail
	return e
}

// report sends a report, or keeps it until the link returns.
func (r *replayer) report(e report) {
	if !e.worker.connected {
		e.worker.unsent = append(e.worker.unsent, e)
		return
	}
	r.deliver(e)
}

// explicitReport applies a report that the trace states.
func (r *replayer) explicitReport(stated *Report) {
	w, ok := r.workers[stated.Worker]
	if !ok {
		r.decide("report ignored task=%s: unknown worker %s", stated.Task, stated.Worker)
		return
	}
	r.deliver(report{
		worker: w, taskID: stated.Task, number: stated.Attempt, event: stated.Event, checkpoint: stated.Checkpoint,
		session:  task.Session{BootID: stated.Boot, Number: stated.Session},
		progress: stated.ProgressPermille, detail: stated.Detail,
	})
}

// deliver applies a report to the record. While the store is down the worker repeats it.
func (r *replayer) deliver(e report) {
	if !r.storeUp {
		r.held = append(r.held, e)
		return
	}
	record, ok := r.records[e.taskID]
	if !ok {
		r.decide("report ignored task=%s event=%s: unknown task", e.taskID, e.event)
		return
	}
	changed := record.Clone()
	if err := e.apply(changed, r.now); err != nil {
		r.decide("report ignored task=%s attempt=%d event=%s worker=%s: %v", e.taskID, e.number, e.event, e.worker.Name, err)
		return
	}
	r.decide("report task=%s attempt=%d event=%s worker=%s state=%s", e.taskID, e.number, e.event, e.worker.Name, changed.State)
	r.store(changed)
	r.noteEffect(&e, record)
	r.wakePlan()
}

func (e *report) apply(record *task.Record, now time.Time) error {
	origin := task.Origin{Worker: e.worker.Name, Attempt: e.number, Session: e.session}
	switch reportEvents[e.event] {
	case wire.EventStarted:
		return record.Started(origin, now)
	case wire.EventFinished:
		return record.Finished(origin, nil, now)
	case wire.EventFailed:
		return record.Failed(origin, e.detail, now)
	case wire.EventEvicted:
		return record.Evicted(origin, e.checkpoint, e.progress, now)
	case wire.EventStopped:
		return record.Stopped(origin, now)
	default:
		return record.Refused(origin, e.detail, now)
	}
}

// noteEffect updates the worker's health and the facts after a report took effect.
func (r *replayer) noteEffect(e *report, before *task.Record) {
	fact := taskFact{at: r.now, taskID: e.taskID, team: before.Spec.Team, worker: e.worker.Name, zone: e.worker.Zone}
	switch reportEvents[e.event] {
	case wire.EventStarted:
		if r.runs[e.taskID] == nil {
			r.history.started = append(r.history.started, fact)
			if known := r.history.accepted[e.taskID]; known != nil && known.startAt.IsZero() {
				known.startAt = r.now
			}
		}
	case wire.EventFinished:
		r.history.finished = append(r.history.finished, fact)
		startedAt := before.StartedAt
		if startedAt.IsZero() {
			startedAt = r.now
		}
		r.health.RecordSuccess(e.worker.Name, startedAt)
	case wire.EventFailed:
		r.workerFailed(e, fact)
	case wire.EventEvicted, wire.EventStopped:
		if before.State != task.StateCancelling {
			r.history.evicted = append(r.history.evicted, fact)
		}
	}
}
