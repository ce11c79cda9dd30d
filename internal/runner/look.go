package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/job"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// look keeps the worker's lease and takes in what runs on it, until the context ends.
func (a *Agent) look(ctx context.Context) {
	var reported time.Duration
	for ctx.Err() == nil {
		request, confirmation, ok := a.nextLook()
		if !ok {
			a.awaitWork(ctx, lookWait)
			continue
		}
		sent := a.config.Now()
		call, cancel := context.WithTimeout(ctx, request.Wait+lookTimeout)
		answer, err := a.config.Worker.Hold(call, request)
		cancel()
		if err != nil {
			a.lookFailed(err)
			wait.Sleep(ctx, retryDelay)
			continue
		}
		if !a.ofThisLife(answer) {
			// The description of the new life follows with its next status report.
			a.awaitWork(ctx, retryDelay)
			continue
		}
		fresh := a.takeLook(answer)
		a.adjustPaces(ctx, answer)
		if now := a.config.Now(); now-reported >= progressInterval {
			reported = now
			a.reportProgress()
		}
		switch {
		case fresh:
			a.awaitWork(ctx, confirmation)
		case a.config.Now()-sent < promptLook:
			// The worker answers at once while ends are not confirmed.
			a.awaitWork(ctx, retryDelay)
		}
	}
}

// nextLook returns the next look, and how long to wait for a confirmation after it. ok is false while no
// worker or no coordinator is known.
func (a *Agent) nextLook() (request HoldRequest, confirmation time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.ID == "" || a.fence == 0 {
		return HoldRequest{}, 0, false
	}
	now := a.config.Now()
	request = HoldRequest{Target: a.targetLocked(), ConfirmedUpTo: a.confirmedLocked(), Wait: lookWait}
	if now-a.answeredAt < silenceBound {
		request.Due, _ = a.lease.extend(now, a.lease.term)
		request.Wait = min(request.Wait, a.lease.lookWait(now))
	} else {
		// A silent worker is only looked at: once its lease has ended, its runs can go on elsewhere.
		request.Wait = 0
	}
	if !a.complete || !a.verified {
		// A life that was not looked at may not be the one that the clock was read from.
		request.Wait, request.Due = 0, 0
	}
	return request, confirmWait, true
}

// awaitWork waits until something changes or the duration has passed.
func (a *Agent) awaitWork(ctx context.Context, d time.Duration) {
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

// lookFailed notes a look without an answer. The runs are lost once their lease has certainly ended.
func (a *Agent) lookFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Now()
	a.verified = false
	if !errors.Is(err, ErrNotSent) {
		a.refusedSince = 0
	} else if a.refusedSince == 0 {
		a.refusedSince = now
	}
	if a.lost || !a.complete {
		return
	}
	switch {
	case a.refusedSince != 0 && now-a.refusedSince > refusedBound:
		a.config.Logger.Warn("worker refuses connections", "worker", a.worker.ID, "runs", len(a.runs))
		a.loseLocked(reasonRefused)
	case now > a.lease.limit && now-a.answeredAt > silenceBound:
		a.config.Logger.Warn("worker is silent and its lease has ended", "worker", a.worker.ID, "runs", len(a.runs), "error", err)
		a.loseLocked(reasonLapsed)
	}
}

// ofThisLife reports whether the look is at the life of the worker that the agent knows.
func (a *Agent) ofThisLife(look Look) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := look.Born == 0 || look.Born == a.worker.Born
	a.verified = a.verified && same
	return same
}

// takeLook takes in what runs on the worker and reports new ends. It returns whether there are any.
func (a *Agent) takeLook(look Look) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if look.Born != 0 && look.Born != a.worker.Born {
		return false
	}
	now := a.config.Now()
	a.answeredAt, a.refusedSince, a.verified = now, 0, true
	a.lease.observe(look.Clock, now)
	fresh := a.takeEndsLocked(look.Ends)
	unknown := false
	if look.Clock >= a.lookClock {
		a.lookClock = look.Clock
		unknown = a.takeRunsLocked(look)
	}
	if !a.complete || a.lost || unknown {
		a.complete, a.lost = true, false
		a.reportLocked()
	} else if len(fresh) > 0 {
		a.sendLocked(&wire.RunEnded{WorkerID: a.worker.ID, Born: a.worker.Born, Ends: fresh})
	}
	return len(fresh) > 0
}

// takeEndsLocked takes in listed ends and returns the new ones.
func (a *Agent) takeEndsLocked(ends []wire.EndRow) []wire.EndRow {
	fresh := a.ends.add(ends)
	for i := range fresh {
		row := &fresh[i]
		a.config.Logger.Info("run ended", "task", row.Task, "run", row.Run, "number", row.Number, "outcome", job.Outcome(row.Outcome))
		if local := a.runs[row.Task]; local != nil && local.run == row.Run {
			delete(a.runs, row.Task)
		}
	}
	return fresh
}

// takeRunsLocked takes in the runs on the worker and reports whether one of them is new to the agent.
func (a *Agent) takeRunsLocked(look Look) bool {
	unknown := false
	for i := range look.Runs {
		state := &look.Runs[i]
		if a.ends.has(state.Task, state.Run) {
			continue
		}
		local := a.runs[state.Task]
		if local == nil || local.run < state.Run {
			local = &localRun{task: state.Task, run: state.Run}
			a.runs[state.Task] = local
			unknown = true
		}
		if local.run == state.Run {
			local.settled = true
			local.row, local.figure = state.RunRow, state.Figure
		}
	}
	return unknown
}
