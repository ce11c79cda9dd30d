package runner

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// handleStopLocked carries out a stop order, or reports the run as absent if the incarnation of the worker that it is
// for has ended. While that is not known, the order is dropped; the coordinator repeats it.
func (a *Agent) handleStopLocked(order *wire.StopRun) {
	known := order.WorkerID == a.worker.ID && order.Incarnation == a.worker.Incarnation
	if end, ended := a.ends.find(order.Task, order.Run); known && ended {
		if a.workerLost {
			// No report lists the end while the worker is lost.
			a.sendLocked(&wire.RunEnded{WorkerID: order.WorkerID, Incarnation: order.Incarnation, Ends: []wire.EndRow{end}})
		}
		return
	}
	if a.runsEndedLocked(order.WorkerID, order.Incarnation) {
		a.rejectOrderLocked(order.WorkerID, order.Incarnation, order.Task, order.Run, reasonOtherIncarnation)
		return
	}
	if !known {
		return
	}
	local := a.runs[order.Task]
	if local == nil {
		local = &localRun{task: order.Task, run: order.Run, startConfirmed: true}
		a.runs[order.Task] = local
	}
	if local.run != order.Run {
		// The coordinator repeats the order, so one attempt is enough.
		target := a.targetLocked()
		a.goroutines.Go(func() { _ = a.stopOnce(a.baseCtx, target, order.Task, order.Run) })
		return
	}
	local.stopRequested = true
	// The retries of an unconfirmed start check stopRequested themselves.
	if local.startConfirmed && !local.stopInProgress {
		local.stopInProgress = true
		a.goroutines.Go(func() { a.finishStop(a.baseCtx, local, reasonStopped) })
	}
}

// finishStop stops a run and reports it as absent if it was not on the worker.
func (a *Agent) finishStop(ctx context.Context, local *localRun, reason string) {
	a.confirmAbsent(ctx, local, reason, true)
	a.mu.Lock()
	defer a.mu.Unlock()
	local.stopInProgress = false
}

// stopUntilAnswered repeats a stop call until the worker answers it. A call that the worker refuses for its fence is sent
// again once a newer link has brought a higher one: until then the worker obeys the holder of the higher fence. It returns
// false if the context ends, the worker's incarnation changes or the worker is lost.
func (a *Agent) stopUntilAnswered(ctx context.Context, task string, run uint32) bool {
	a.mu.Lock()
	incarnation := a.worker
	a.mu.Unlock()
	minFence := uint64(0)
	for {
		a.mu.Lock()
		target := a.targetLocked()
		ended := a.worker.ID != incarnation.ID || a.worker.Incarnation != incarnation.Incarnation || a.workerLost
		a.mu.Unlock()
		if ended {
			return false
		}
		if target.Fence >= minFence {
			err := a.stopOnce(ctx, target, task, run)
			switch {
			case err == nil || errors.Is(err, ErrInvalid):
				return true
			case errors.Is(err, ErrFenced):
				minFence = target.Fence + 1
			}
		}
		if !wait.Sleep(ctx, retryDelay) {
			return false
		}
	}
}

// stopOnce makes one stop call and logs its result.
func (a *Agent) stopOnce(ctx context.Context, target Target, task string, run uint32) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.config.Worker.StopRun(callCtx, target, task, run)
	logger := a.config.Logger.With("task", task, "run", run, "fence", target.Fence)
	switch {
	case err == nil:
		logger.Info("run stopped")
	case errors.Is(err, ErrFenced):
		logger.Warn("stop call refused for its fence; waiting for a newer link")
	case errors.Is(err, ErrInvalid):
		logger.Warn("worker rejected the stop call as invalid", "error", err)
	default:
		logger.Info("stop call got no answer", "error", err)
	}
	return err
}
