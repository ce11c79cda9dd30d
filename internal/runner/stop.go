package runner

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// stopLocked carries out a stop order.
func (a *Agent) stopLocked(order *wire.StopRun) {
	if order.WorkerID != a.worker.ID || order.Born != a.worker.Born {
		a.refuseLocked(order.WorkerID, order.Born, order.Task, order.Run, reasonLife)
		return
	}
	if a.ends.has(order.Task, order.Run) {
		return
	}
	local := a.runs[order.Task]
	if local == nil || local.run != order.Run {
		local = &localRun{run: order.Run, settled: true, order: &wire.StartRun{Task: order.Task, Run: order.Run}}
		if known := a.runs[order.Task]; known != nil {
			a.group.Go(func() { a.stop(a.lifetime, order.Task, order.Run) })
			return
		}
		a.runs[order.Task] = local
	}
	if local.stopping && !local.settled {
		return
	}
	local.stopping = true
	if local.settled {
		a.group.Go(func() { a.stopAndSettle(a.lifetime, local, order.Task) })
	}
}

// stopAndSettle stops a run and reports it as absent if it was not there.
func (a *Agent) stopAndSettle(ctx context.Context, local *localRun, task string) {
	if local.order == nil {
		local = &localRun{run: local.run, settled: true, stopping: true, order: &wire.StartRun{Task: task, Run: local.run}}
		a.mu.Lock()
		a.runs[task] = local
		a.mu.Unlock()
	}
	a.settleAbsent(ctx, local, reasonStopped, true)
}

// stop repeats a stop call until the worker has answered it.
func (a *Agent) stop(ctx context.Context, task string, run uint32) {
	a.stopUntilAnswered(ctx, task, run)
}

// stopUntilAnswered repeats a stop call and reports whether the worker has answered it. It gives up when
// the worker's life is over.
func (a *Agent) stopUntilAnswered(ctx context.Context, task string, run uint32) bool {
	a.mu.Lock()
	life := a.worker
	a.mu.Unlock()
	for {
		a.mu.Lock()
		target := a.targetLocked()
		over := a.worker.ID != life.ID || a.worker.Born != life.Born || a.lost
		a.mu.Unlock()
		if over {
			return false
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.config.Worker.Stop(call, target, task, run)
		cancel()
		if err == nil || errors.Is(err, ErrInvalid) {
			a.config.Logger.Info("run stopped", "task", task, "run", run)
			return true
		}
		a.config.Logger.Info("stop not answered", "task", task, "run", run, "error", err)
		if !pause(ctx, retryDelay) {
			return false
		}
	}
}
