package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// State returns the state of a job, or ErrNotFound. It reads the store if the coordinator does not answer or has
// not loaded the job. It returns ErrUnavailable if callers have caused too many calls to the store.
func (g *Gateway) State(ctx context.Context, id string) (job.State, error) {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	state, known, err := g.config.Coordinator.State(call, id)
	cancel()
	if err == nil && known {
		return state, nil
	}
	if !g.calls.allowReads(stateReads) {
		return 0, g.refuseCall()
	}
	return g.storedState(ctx, id)
}

// storedState reads the state of a job from the store, with retries until shortly before the deadline.
func (g *Gateway) storedState(ctx context.Context, id string) (job.State, error) {
	for {
		state, err := g.readStoredState(ctx, id)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < replyMargin+retryDelay {
			return 0, err
		}
		if !wait.Sleep(ctx, retryDelay) {
			return 0, err
		}
	}
}

// readStoredState makes one attempt to read the state of a job from the store.
func (g *Gateway) readStoredState(ctx context.Context, id string) (job.State, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := g.config.Store.Get(call, coordinator.ProgressKey(id))
	if err == nil {
		progress, err := job.DecodeProgress(item.Value)
		if err != nil {
			return 0, err
		}
		return progress.State, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	if _, err := g.config.Store.Get(call, coordinator.JobKey(id)); err != nil {
		return 0, err
	}
	return job.StateQueued, nil
}

// Waiting returns the number of jobs in the queue with no started task, as known to the coordinator.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	return g.config.Coordinator.Waiting(ctx, queue)
}
