package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/planner"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// Reasons of a run that is absent, beside those that the planner tells apart.
const (
	reasonExpired = "order expired"
	reasonAbsent  = "reported as absent before"
	reasonLife    = "other life of the worker"
	reasonLeaving = "worker is leaving"
	reasonBusy    = "worker is unhealthy"
	reasonInvalid = "worker refused the start as invalid"
	reasonStopped = "stopped before it started"
	reasonLapsed  = "lease of the silent worker has ended"
	reasonRefused = "worker refuses connections"
)

// startLocked carries out a start order. An order for a run that is known already only tells again how
// the run shares the worker.
func (a *Agent) startLocked(order *wire.StartRun) {
	if local := a.runs[order.Task]; local != nil && local.run >= order.Run {
		if local.run == order.Run && local.order == nil {
			local.order = order
		}
		return
	}
	if !a.complete {
		// What runs is not known yet; the report that follows shows whether the order has to be repeated.
		return
	}
	if a.ends.has(order.Task, order.Run) {
		// The run has ended and its end is not recorded: it is neither absent nor to be started again.
		a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Born: a.worker.Born, Ends: a.ends.unrecorded()})
		return
	}
	if reason := a.refusalLocked(order); reason != "" {
		a.config.Logger.Info("start not carried out", "task", order.Task, "run", order.Run, "reason", reason)
		a.refuseLocked(order.WorkerID, order.Born, order.Task, order.Run, reason)
		return
	}
	a.paces.adopt(order.Pressures)
	local := &localRun{task: order.Task, run: order.Run, order: order}
	a.runs[order.Task] = local
	issued, _ := a.pings.sentAt(order.LastPing)
	a.group.Go(func() { a.start(a.lifetime, local, issued+maxOrderAge) })
}

// refuseLocked reports a run of an order that is not carried out as absent.
func (a *Agent) refuseLocked(workerID string, born int64, task string, run uint32, reason string) {
	if workerID == a.worker.ID && born == a.worker.Born {
		a.sendAbsentLocked(task, run, reason)
		return
	}
	a.sendLocked(&wire.RunAbsent{WorkerID: workerID, Born: born, Task: task, Run: run, Reason: reason})
}

// refusalLocked returns why a start order must not be carried out, or "".
func (a *Agent) refusalLocked(order *wire.StartRun) string {
	issued, ok := a.pings.sentAt(order.LastPing)
	switch {
	case !ok || a.config.Now()-issued > maxOrderAge:
		return reasonExpired
	case order.WorkerID != a.worker.ID || order.Born != a.worker.Born || a.lost:
		return reasonLife
	case order.Run <= a.absent[order.Task]:
		return reasonAbsent
	case a.worker.Leaving:
		return reasonLeaving
	default:
		return ""
	}
}

// start repeats the start call until the worker's verdict is known or the order is too old.
func (a *Agent) start(ctx context.Context, local *localRun, deadline time.Duration) {
	unanswered := false
	for {
		reason := a.tryStart(ctx, local, deadline, &unanswered)
		if reason == "" {
			return
		}
		if reason != reasonRetry {
			a.settleAbsent(ctx, local, reason, unanswered)
			return
		}
		if !wait.Sleep(ctx, retryDelay) {
			return
		}
	}
}

// reasonRetry asks for another attempt.
const reasonRetry = "retry"

// tryStart makes one attempt. It returns "" once the run is there or its life is over, reasonRetry, or
// why the run will not be started.
func (a *Agent) tryStart(ctx context.Context, local *localRun, deadline time.Duration, unanswered *bool) string {
	if *unanswered && !a.isVerified() {
		// The look in progress may wait for an end; a look of its own lets the start be repeated at once.
		if present, ok := a.lookFor(ctx, local); ok && present {
			a.admitFiller(ctx, local)
			return ""
		}
	}
	order := local.order
	a.mu.Lock()
	now := a.config.Now()
	due, ok := a.lease.extend(now, startDue)
	request := StartRequest{
		Target: a.targetLocked(), Task: order.Task, Run: order.Run,
		Payload: order.Payload, Saved: order.Saved, Due: due,
	}
	gone := a.runs[order.Task] != local
	leaving, stopping, verified := a.worker.Leaving, local.stopping, a.verified
	a.mu.Unlock()
	switch {
	case gone:
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
	call, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	verdict, err := a.config.Worker.Start(call, request)
	return a.judge(local, verdict, err, unanswered)
}

// judge takes in the outcome of a start call.
func (a *Agent) judge(local *localRun, verdict Verdict, err error, unanswered *bool) string {
	switch {
	case err == nil && verdict.Reason == "":
		a.started(local, verdict.Clock)
		a.admitFiller(a.lifetime, local)
		return ""
	case err == nil:
		return verdict.Reason
	case errors.Is(err, ErrOtherLife):
		return reasonLife
	case errors.Is(err, ErrInvalid):
		return reasonInvalid
	case errors.Is(err, ErrBusy):
		return reasonRetry
	case errors.Is(err, ErrNotSent):
		a.distrust()
		return reasonRetry
	default:
		a.distrust()
		a.config.Logger.Info("start not answered", "task", local.task, "run", local.run, "error", err)
		*unanswered = true
		return reasonRetry
	}
}

// distrust notes a call without an answer: the worker may have begun a new life, so nothing that depends
// on its clock or its numbers is sent until a look has reached the known life again.
func (a *Agent) distrust() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.verified = false
}

// isVerified reports whether the latest call reached the life of the worker that the agent knows.
func (a *Agent) isVerified() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verified
}

// started notes a run that the worker has confirmed.
func (a *Agent) started(local *localRun, clock time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	local.settled = true
	local.startedAt = clock
	a.lease.observe(clock, a.config.Now())
	a.config.Logger.Info("run started", "task", local.task, "run", local.run, "worker", a.worker.ID)
	if local.stopping && !local.settling {
		local.settling = true
		a.group.Go(func() { a.settleStop(a.lifetime, local) })
	}
}

// settleAbsent makes sure that a run that was not started never will be, and reports it as absent.
func (a *Agent) settleAbsent(ctx context.Context, local *localRun, reason string, unanswered bool) {
	if unanswered && !a.stopUntilAnswered(ctx, local.task, local.run) {
		return
	}
	for ctx.Err() == nil {
		present, ok := a.lookFor(ctx, local)
		if ok && !present {
			break
		}
		if ok && present && !unanswered {
			// The run is there after all; the look has taken it in.
			return
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
	a.sendAbsentLocked(local.task, local.run, reason)
}

// lookFor takes a fresh look at the worker and reports whether the run is on it or has a listed end. A
// run that is no longer known to the agent counts as settled. ok is false if the look failed.
func (a *Agent) lookFor(ctx context.Context, local *localRun) (present, ok bool) {
	a.mu.Lock()
	request := HoldRequest{Target: a.targetLocked(), ConfirmedUpTo: a.confirmedLocked()}
	gone := a.runs[local.task] != local
	a.mu.Unlock()
	if gone {
		return false, true
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	look, err := a.config.Worker.Hold(call, request)
	if err != nil {
		return false, false
	}
	a.takeLook(look)
	for i := range look.Runs {
		if look.Runs[i].Task == local.task && look.Runs[i].Run == local.run {
			return true, true
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ends.has(local.task, local.run), true
}
