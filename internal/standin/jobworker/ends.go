package jobworker

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// finishRun ends a run after the duration of its work.
func (w *Worker) finishRun(task string, running *activeRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != running {
		return
	}
	if running.work.Crashes {
		w.crashLocked()
		time.AfterFunc(crashDowntime, w.Restart)
		return
	}
	outcome := job.OutcomeDone
	if running.work.Fails {
		outcome = job.OutcomeFailed
	}
	w.endRunLocked(task, running, outcome)
}

// endRunLocked ends a run and adds its end to the list.
func (w *Worker) endRunLocked(task string, running *activeRun, outcome job.Outcome) {
	running.timer.Stop()
	delete(w.runs, task)
	w.lastEnd++
	if w.lastEnd > w.confirmedUpTo {
		w.ends = append(w.ends, wire.EndRow{Number: w.lastEnd, Task: task, Run: running.run, Outcome: uint8(outcome)})
	}
	w.config.Observer.Ended(w.config.ID, task, running.run, outcome)
	w.wakeWaitersLocked()
}

// extendLeaseLocked extends the lease up to due; it never shortens it.
func (w *Worker) extendLeaseLocked(due time.Duration) {
	if due <= w.leaseEnd {
		return
	}
	w.leaseEnd = due
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	incarnation := w.incarnation
	remaining := time.Duration(float64(due-w.clockLocked()) / w.config.ClockRate)
	w.leaseTimer = time.AfterFunc(remaining, func() { w.handleLeaseEnd(incarnation, due) })
}

// handleLeaseEnd ends all runs when the lease has ended, unless it was extended since.
func (w *Worker) handleLeaseEnd(incarnation int64, due time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != incarnation || w.leaseEnd != due || w.down {
		return
	}
	for task, running := range w.runs {
		w.endRunLocked(task, running, job.OutcomeLeaseExpired)
	}
	w.lastLapsedEnd = w.lastEnd
}

// confirmEndsLocked removes the listed ends up to a number. Ends up to it that follow later are never listed: a call
// that was meant for the previous incarnation can confirm them.
func (w *Worker) confirmEndsLocked(upTo uint64) {
	w.confirmedUpTo = max(w.confirmedUpTo, upTo)
	for len(w.ends) > 0 && w.ends[0].Number <= upTo {
		row := w.ends[0]
		w.ends = w.ends[1:]
		w.config.Observer.Confirmed(w.config.ID, row.Task, row.Run, job.Outcome(row.Outcome), row.Number <= w.lastLapsedEnd)
	}
}
