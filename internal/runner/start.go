package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/planner"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// Reasons in the report of an absent run, besides those that the planner treats specially.
const (
	reasonExpired          = "order expired"
	reasonAbsent           = "reported as absent before"
	reasonOtherIncarnation = "other life of the worker"
	reasonLeft             = "worker has left"
	reasonLeaving          = "worker is leaving"
	reasonInvalid          = "worker refused the start as invalid"
	reasonStopped          = "stopped before it started"
	reasonLeaseEnded       = "lease of the silent worker has ended"
	reasonRefused          = "worker refuses connections"
	reasonMissing          = "worker neither runs it nor lists its end"
)

// handleStartLocked carries out a start order. For a run that is already known, it only stores the order if
// the run has none, since the order holds the attributes for pacing.
func (a *Agent) handleStartLocked(order *wire.StartRun) {
	if local := a.runs[order.Task]; local != nil && local.run >= order.Run {
		if local.run == order.Run && local.startOrder == nil {
			local.startOrder = order
		}
		return
	}
	if !a.snapshotTaken {
		// The worker's runs are not known yet. From the next report the coordinator decides whether to repeat
		// the order.
		return
	}
	if a.ends.contains(order.Task, order.Run) {
		// The run has ended, but its end is not confirmed yet: it must be neither reported as absent nor started
		// again.
		a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Incarnation: a.worker.Incarnation, Ends: a.ends.unrecordedRows()})
		return
	}
	if reason := a.rejectReasonLocked(order); reason != "" {
		if !a.endsKnown {
			// The run may have ended on the worker without being listed yet. The coordinator repeats the order.
			return
		}
		a.config.Logger.Info("start order rejected", "task", order.Task, "run", order.Run, "reason", reason)
		a.rejectOrderLocked(order.WorkerID, order.Incarnation, order.Task, order.Run, reason)
		return
	}
	a.pacer.adoptPressures(order.Pressures)
	local := &localRun{task: order.Task, run: order.Run, startOrder: order}
	a.runs[order.Task] = local
	issuedAt, _ := a.pings.sentAt(order.LastPing)
	a.goroutines.Go(func() { a.startWithRetries(a.baseCtx, local, issuedAt+maxOrderAge) })
}

// rejectOrderLocked reports the run of a rejected order as absent.
func (a *Agent) rejectOrderLocked(workerID string, incarnation int64, task string, run uint32, reason string) {
	if workerID == a.worker.ID && incarnation == a.worker.Incarnation {
		a.sendRunAbsentLocked(task, run, reason)
		return
	}
	a.sendLocked(&wire.RunAbsent{WorkerID: workerID, Incarnation: incarnation, Task: task, Run: run, Reason: reason})
}

// rejectReasonLocked returns why a start order must be rejected, or "" if it may be carried out.
func (a *Agent) rejectReasonLocked(order *wire.StartRun) string {
	issuedAt, ok := a.pings.sentAt(order.LastPing)
	switch {
	case !ok || a.config.Now()-issuedAt > maxOrderAge:
		return reasonExpired
	case order.WorkerID != a.worker.ID || order.Incarnation != a.worker.Incarnation || a.workerLost:
		return reasonOtherIncarnation
	case order.Run <= a.absent[order.Task]:
		return reasonAbsent
	case a.worker.Leaving:
		return reasonLeaving
	default:
		return ""
	}
}

// startWithRetries repeats the start call until the worker answers or the order is too old.
func (a *Agent) startWithRetries(ctx context.Context, local *localRun, deadline time.Duration) {
	unanswered := false
	for {
		reason := a.tryStart(ctx, local, deadline, &unanswered)
		if reason == "" {
			return
		}
		if reason != reasonRetry {
			a.confirmAbsent(ctx, local, reason, unanswered)
			return
		}
		if !wait.Sleep(ctx, retryDelay) {
			return
		}
	}
}

// reasonRetry is returned by an attempt that has to be repeated. It is not reported.
const reasonRetry = "retry"

// tryStart makes one attempt. It returns "" once the run is on the worker or is no longer tracked,
// reasonRetry, or why the run will not be started.
func (a *Agent) tryStart(ctx context.Context, local *localRun, deadline time.Duration, unanswered *bool) string {
	if *unanswered && !a.isIncarnationVerified() {
		// The poll in progress may be waiting for an end. A separate poll that does not wait verifies the
		// incarnation sooner, so the start can be repeated at once.
		if present, ok := a.pollForRun(ctx, local, false); ok && present {
			a.admitFiller(ctx, local)
			return ""
		}
	}
	order := local.startOrder
	a.mu.Lock()
	now := a.config.Now()
	leaseEnd, ok := a.lease.extend(now, startLeaseTerm)
	request := StartRequest{
		Target: a.targetLocked(), Task: order.Task, Run: order.Run,
		Payload: order.Payload, Checkpoint: order.Checkpoint, LeaseEnd: leaseEnd,
	}
	dropped := a.runs[order.Task] != local
	leaving, stopping, verified := a.worker.Leaving, local.stopRequested, a.incarnationVerified
	a.mu.Unlock()
	switch {
	case dropped:
		return ""
	case stopping:
		return reasonStopped
	case leaving:
		return reasonLeaving
	case !ok || now > deadline:
		if *unanswered {
			return planner.ReasonUnanswered
		}
		return reasonExpired
	case !verified:
		return reasonRetry
	}
	a.markStartSent(local)
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	reply, err := a.config.Worker.StartRun(callCtx, request)
	return a.handleStartResult(local, reply, err, unanswered)
}

// handleStartResult processes the result of a start call and returns what tryStart returns for it.
func (a *Agent) handleStartResult(local *localRun, reply StartReply, err error, unanswered *bool) string {
	switch {
	case err == nil && reply.Reason == "":
		a.markStarted(local, reply.Clock)
		a.admitFiller(a.baseCtx, local)
		return ""
	case err == nil:
		return reply.Reason
	case errors.Is(err, ErrOtherIncarnation):
		return reasonOtherIncarnation
	case errors.Is(err, ErrInvalid):
		return reasonInvalid
	case errors.Is(err, ErrUnhealthy):
		return reasonRetry
	case errors.Is(err, ErrNotSent):
		if !*unanswered {
			a.clearStartSent(local)
		}
		a.markUnverified()
		return reasonRetry
	default:
		a.markUnverified()
		a.config.Logger.Info("start call got no answer", "task", local.task, "run", local.run, "error", err)
		*unanswered = true
		return reasonRetry
	}
}

// markUnverified is called after a call without an answer. The worker may have restarted, so nothing that
// depends on its clock or its end numbers is sent until a poll reaches the known incarnation again.
func (a *Agent) markUnverified() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnationVerified = false
	a.markFailingLocked(a.config.Now())
}

// isIncarnationVerified reports whether the latest call reached the known incarnation of the worker.
func (a *Agent) isIncarnationVerified() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnationVerified
}

// markStarted records that the worker has confirmed the start of a run, and carries out a stop order that
// arrived meanwhile.
func (a *Agent) markStarted(local *localRun, clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmStartLocked(local)
	local.startedAt = clock
	a.lease.observeClock(clock, a.config.Now())
	a.config.Logger.Info("run started", "task", local.task, "run", local.run, "worker", a.worker.ID)
	if local.stopRequested && !local.stopInProgress {
		local.stopInProgress = true
		a.goroutines.Go(func() { a.finishStop(a.baseCtx, local, reasonStopped) })
	}
}

// confirmAbsent reports a run as absent once a poll shows that it is not on the worker. If a call got no
// answer, it stops the run first so that a delayed start can't take effect, and again while the run outlasts its stop by
// maxStopTime: the worker may have answered without carrying the call out.
func (a *Agent) confirmAbsent(ctx context.Context, local *localRun, reason string, unanswered bool) {
	if unanswered && !a.stopUntilAnswered(ctx, local.task, local.run) {
		return
	}
	stopped := a.config.Now()
	for ctx.Err() == nil {
		// A run that is being stopped may be in a row that can't be read.
		ending := unanswered && a.config.Now()-stopped < maxStopTime
		present, ok := a.pollForRun(ctx, local, ending)
		if ok && !present {
			break
		}
		if ok && present && !unanswered {
			// The run is on the worker after all; the poll has added it to the runs.
			return
		}
		if ok && present && !ending {
			a.config.Logger.Warn("run is still on its worker after its stop; stopping it again", "task", local.task, "run", local.run)
			if !a.stopUntilAnswered(ctx, local.task, local.run) {
				return
			}
			stopped = a.config.Now()
		}
		if !wait.Sleep(ctx, retryDelay) {
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs[local.task] != local {
		return
	}
	delete(a.runs, local.task)
	a.config.Logger.Info("run is absent", "task", local.task, "run", local.run, "reason", reason)
	a.sendRunAbsentLocked(local.task, local.run, reason)
}

// pollForRun polls the worker without waiting and reports whether the run is on it or has a listed end. A
// run that the agent no longer tracks is reported as not present. ok is false if the poll failed, or if the end of the
// run may be among those that the worker has not listed yet. If ending is set, it is also false if the run may be in a
// row that could not be read.
func (a *Agent) pollForRun(ctx context.Context, local *localRun, ending bool) (present, ok bool) {
	a.mu.Lock()
	request := PollRequest{Target: a.targetLocked(), ConfirmedUpTo: a.confirmedLocked()}
	a.pollsBegun++
	number, dropped := a.pollsBegun, a.runs[local.task] != local
	a.mu.Unlock()
	if dropped {
		return false, true
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := a.config.Worker.Poll(callCtx, request)
	if err != nil {
		return false, false
	}
	if a.precedesTarget(request.Target) {
		return false, false
	}
	a.applySnapshot(snapshot, number)
	for i := range snapshot.Runs {
		if snapshot.Runs[i].Task == local.task && snapshot.Runs[i].Run == local.run {
			return true, true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	present = a.ends.contains(local.task, local.run)
	unlisted := snapshot.EndsTruncated || ending && snapshot.RowsSkipped
	return present, present || !unlisted
}
