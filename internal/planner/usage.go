package planner

import (
	"slices"

	"clementineflow/internal/backlog"
	"clementineflow/internal/job"
)

// Usage returns the memory of the jobs and cancellations that the planner keeps.
func (p *Planner) Usage() *backlog.Usage { return &p.usage }

// addEntry adds a job and counts its memory.
func (p *Planner) addEntry(e *entry) {
	p.jobs[e.spec.ID] = e
	p.setHeldBytes(e, backlog.JobBytes(e.spec))
	if e.progress.State.Final() {
		p.finished = append(p.finished, e)
		return
	}
	p.active = append(p.active, e)
}

// removeEntry forgets a job.
func (p *Planner) removeEntry(id string) {
	if e := p.jobs[id]; e != nil {
		p.setHeldBytes(e, 0)
		delete(p.jobs, id)
	}
}

func (p *Planner) setHeldBytes(e *entry, bytes int64) {
	p.usage.Add(e.spec.Queue, bytes-e.heldBytes)
	e.heldBytes = bytes
}

// addPendingCancel adds a cancellation without a job, or restarts its period.
func (p *Planner) addPendingCancel(id string) {
	if p.pendingCancels[id] == nil {
		p.usage.AddCancellations(1)
	}
	p.pendingCancels[id] = &pendingCancel{since: p.now}
}

// removePendingCancel forgets a cancellation without a job, if there is one.
func (p *Planner) removePendingCancel(id string) {
	if p.pendingCancels[id] != nil {
		p.usage.AddCancellations(-1)
		delete(p.pendingCancels, id)
	}
}

// releaseFinished releases the tasks of ended jobs. Their state stays readable until they are removed.
func (p *Planner) releaseFinished() {
	p.finished = slices.DeleteFunc(p.finished, func(e *entry) bool {
		if p.jobs[e.spec.ID] != e {
			return true // removed meanwhile
		}
		if e.dirty || e.inFlight || e.assigned > 0 {
			return false
		}
		p.setHeldBytes(e, backlog.FinishedJobBytes(e.spec))
		e.release()
		return true
	})
}

// release drops all but what identifies an ended job, its state and when it ended. No task may be assigned.
func (e *entry) release() {
	e.spec = &job.Spec{ID: e.spec.ID, Queue: e.spec.Queue, Service: e.spec.Service, MaxAttempts: e.spec.MaxAttempts}
	e.progress = &job.Progress{State: e.progress.State, EndedAtMillis: e.progress.EndedAtMillis}
	e.runs, e.steps, e.longRunning, e.waiting = nil, nil, nil, 0
}
