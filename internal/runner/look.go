package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/job"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// pollWorker polls the worker until the context ends: each poll extends its lease, confirms ends, and reads
// the runs on it.
func (a *Agent) pollWorker(ctx context.Context) {
	var reportedAt time.Duration
	for ctx.Err() == nil {
		request, delay, ok := a.nextPoll()
		if !ok {
			a.waitForWake(ctx, pollWait)
			continue
		}
		sent := a.config.Now()
		callCtx, cancel := context.WithTimeout(ctx, request.Wait+pollTimeout)
		snapshot, err := a.config.Worker.Poll(callCtx, request)
		cancel()
		if err != nil {
			a.handlePollError(err)
			wait.Sleep(ctx, retryDelay)
			continue
		}
		if !a.verifyIncarnation(snapshot) {
			// The status of the new incarnation follows with the worker's next status report.
			a.waitForWake(ctx, retryDelay)
			continue
		}
		newEnds := a.applySnapshot(snapshot)
		a.adjustPaces(ctx, snapshot)
		if now := a.config.Now(); now-reportedAt >= progressInterval {
			reportedAt = now
			a.sendProgress()
		}
		switch {
		case newEnds:
			a.waitForWake(ctx, delay)
		case a.config.Now()-sent < promptReplyTime:
			// The worker answers without waiting while it has unconfirmed ends.
			a.waitForWake(ctx, retryDelay)
		}
	}
}

// nextPoll returns the request of the next poll, and how long to wait after it for the coordinator to
// confirm new ends. ok is false until both a worker and a coordinator are known.
func (a *Agent) nextPoll() (request PollRequest, delay time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.ID == "" || a.fence == 0 {
		return PollRequest{}, 0, false
	}
	now := a.config.Now()
	request = PollRequest{Target: a.targetLocked(), ConfirmedUpTo: a.confirmedLocked(), Wait: pollWait}
	if now-a.answeredAt < noAnswerTimeout {
		request.LeaseEnd, _ = a.lease.extend(now, a.lease.maxExtension)
		request.Wait = min(request.Wait, a.lease.maxPollWait(now))
	} else {
		// The lease of an unresponsive worker is not extended: once it has ended, its runs can restart elsewhere.
		request.Wait = 0
	}
	if !a.snapshotTaken || !a.incarnationVerified {
		// Without a verified incarnation, the clock reading may be from another incarnation.
		request.Wait, request.LeaseEnd = 0, 0
	}
	return request, confirmationWait, true
}

// waitForWake waits until wake is closed, the duration has passed, or the context ends.
func (a *Agent) waitForWake(ctx context.Context, d time.Duration) {
	a.mu.Lock()
	wake := a.wake
	a.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// handlePollError records a failed poll. The worker counts as lost once it has refused connections for
// refusedTimeout, or has not answered for noAnswerTimeout and its lease has certainly ended.
func (a *Agent) handlePollError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Now()
	a.incarnationVerified = false
	a.markFailingLocked(now)
	if !errors.Is(err, ErrNotSent) {
		a.refusedSince = 0
	} else if a.refusedSince == 0 {
		a.refusedSince = now
	}
	if a.workerLost || !a.snapshotTaken {
		return
	}
	switch {
	case a.refusedSince != 0 && now-a.refusedSince > refusedTimeout:
		a.config.Logger.Warn("worker refuses connections", "worker", a.worker.ID, "runs", len(a.runs))
		a.recordCrashLocked()
		a.reportWorkerLostLocked(reasonRefused)
	case now > a.lease.endsBy && now-a.answeredAt > noAnswerTimeout:
		a.config.Logger.Warn("worker does not answer and its lease has ended", "worker", a.worker.ID, "runs", len(a.runs), "error", err)
		a.reportWorkerLostLocked(reasonLeaseEnded)
	}
}

// verifyIncarnation reports whether the snapshot is of the known incarnation of the worker, and clears
// incarnationVerified if not. A snapshot without an incarnation counts as matching.
func (a *Agent) verifyIncarnation(snapshot Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := snapshot.Incarnation == 0 || snapshot.Incarnation == a.worker.Incarnation
	a.incarnationVerified = a.incarnationVerified && same
	return same
}

// applySnapshot updates the runs from a snapshot of the worker and reports new ends to the coordinator. It
// returns whether there are any.
func (a *Agent) applySnapshot(snapshot Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if snapshot.Incarnation != 0 && snapshot.Incarnation != a.worker.Incarnation {
		return false
	}
	now := a.config.Now()
	a.answeredAt, a.refusedSince, a.failingSince, a.incarnationVerified = now, 0, 0, true
	a.lease.observeClock(snapshot.Clock, now)
	added := a.addEndsLocked(snapshot.Ends)
	foundRun := false
	if snapshot.Clock >= a.snapshotClock {
		a.snapshotClock = snapshot.Clock
		foundRun = a.updateRunsLocked(snapshot)
	}
	if !a.snapshotTaken || a.workerLost || foundRun {
		a.snapshotTaken, a.workerLost = true, false
		a.sendReportLocked()
	} else if len(added) > 0 {
		a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Ends: added})
	}
	return len(added) > 0
}

// addEndsLocked adds the ends that the worker lists, drops their runs, and returns the new ends.
func (a *Agent) addEndsLocked(ends []wire.EndRow) []wire.EndRow {
	added := a.ends.addNew(ends)
	for i := range added {
		row := &added[i]
		a.config.Logger.Info("run ended", "task", row.Task, "run", row.Run, "number", row.Number, "outcome", job.Outcome(row.Outcome))
		if local := a.runs[row.Task]; local != nil && local.run == row.Run {
			delete(a.runs, row.Task)
		}
	}
	return added
}

// updateRunsLocked updates the runs from a snapshot and reports whether the agent had not tracked one of them.
func (a *Agent) updateRunsLocked(snapshot Snapshot) bool {
	found := false
	for i := range snapshot.Runs {
		state := &snapshot.Runs[i]
		if a.ends.contains(state.Task, state.Run) {
			continue
		}
		local := a.runs[state.Task]
		if local == nil || local.run < state.Run {
			local = &localRun{task: state.Task, run: state.Run}
			a.runs[state.Task] = local
			found = true
		}
		if local.run == state.Run {
			local.startConfirmed = true
			local.row, local.measurement = state.RunRow, state.Measurement
		}
	}
	return found
}
