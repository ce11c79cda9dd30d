package runner

import (
	"context"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// pollWorker polls the worker until the context ends: each poll extends its lease, confirms ends, and reads
// the runs on it.
func (a *Agent) pollWorker(ctx context.Context) {
	var reportedAt time.Duration
	for ctx.Err() == nil {
		if !a.workerKnown() {
			a.probeWorker(ctx)
			a.waitForWake(ctx, retryDelay)
			continue
		}
		request, delay, ok := a.nextPoll()
		if !ok {
			a.waitForWake(ctx, pollWait)
			continue
		}
		number, sent := a.beginPoll(), a.config.Now()
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
			a.handlePollError(ErrOtherIncarnation)
			a.waitForWake(ctx, retryDelay)
			continue
		}
		if a.precedesTarget(request.Target) {
			continue
		}
		newEnds := a.applySnapshot(snapshot, number)
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

// workerKnown reports whether a status of the worker has arrived.
func (a *Agent) workerKnown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker.ID != ""
}

// nextPoll returns the request of the next poll, and how long to wait after it for the coordinator to
// confirm new ends. ok is false until a coordinator is known.
func (a *Agent) nextPoll() (request PollRequest, delay time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fence == 0 {
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

// verifyIncarnation reports whether the snapshot is of the known incarnation of the worker. If not, it clears
// incarnationVerified and records which incarnation has answered. A snapshot without an incarnation counts as matching.
func (a *Agent) verifyIncarnation(snapshot Snapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := snapshot.Incarnation == 0 || snapshot.Incarnation == a.worker.Incarnation
	a.incarnationVerified = a.incarnationVerified && same
	a.answeredBy = 0
	if !same {
		a.answeredBy = snapshot.Incarnation
	}
	return same
}

// precedesTarget reports whether a first answer of an incarnation is to a request for a former target. The worker may not
// have seen the current fence then, so that it still accepts a late start order after the answer.
func (a *Agent) precedesTarget(requested Target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.snapshotTaken && requested != a.targetLocked()
}

// applySnapshot updates the runs from the answer to the poll with the number and reports new ends to the coordinator. It
// returns whether there are any.
func (a *Agent) applySnapshot(snapshot Snapshot, poll uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if snapshot.Incarnation != 0 && snapshot.Incarnation != a.worker.Incarnation {
		return false
	}
	now := a.config.Now()
	a.answeredAt, a.refusedSince, a.failingSince, a.endSeenAt, a.incarnationVerified = now, 0, 0, 0, true
	a.expireLeaveLocked(now)
	a.lease.observeClock(snapshot.Clock, now)
	added := a.addEndsLocked(snapshot.Ends)
	allEndsListed := !a.endsKnown && !snapshot.EndsTruncated
	a.endsKnown = a.endsKnown || allEndsListed
	foundRun := false
	if snapshot.Clock >= a.snapshotClock {
		a.snapshotClock = snapshot.Clock
		foundRun = a.updateRunsLocked(snapshot, poll)
		a.stopMissingRunsLocked(&snapshot, poll)
	}
	newReport := !a.snapshotTaken || a.workerLost || foundRun
	a.snapshotTaken, a.workerLost = true, false
	if len(added) > 0 && !newReport {
		a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Ends: added})
	}
	if newReport || allEndsListed {
		a.sendReportLocked()
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
func (a *Agent) updateRunsLocked(snapshot Snapshot, poll uint64) bool {
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
			a.confirmStartLocked(local)
			local.listedInPoll, local.missedPolls = poll, 0
			local.row, local.measurement = state.RunRow, state.Measurement
		}
	}
	return found
}
