package runner

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/wait"
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
	if local == nil {
		local = &localRun{task: order.Task, run: order.Run, settled: true}
		a.runs[order.Task] = local
	}
	if local.run != order.Run {
		a.group.Go(func() { a.stopUntilAnswered(a.lifetime, order.Task, order.Run) })
		return
	}
	local.stopping = true
	// A start that is still being repeated notices the stop itself.
	if local.settled && !local.settling {
		local.settling = true
		a.group.Go(func() { a.settleStop(a.lifetime, local) })
	}
}

// settleStop stops a run and reports it as absent if it was not there.
func (a *Agent) settleStop(ctx context.Context, local *localRun) {
	a.settleAbsent(ctx, local, reasonStopped, true)
	a.mu.Lock()
	defer a.mu.Unlock()
	local.settling = false
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
		if !wait.Sleep(ctx, retryDelay) {
			return false
		}
	}
}
