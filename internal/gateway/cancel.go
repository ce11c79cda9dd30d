package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/store"
)

// Cancel stores the cancellation of a job. The outcome is Accepted, NoJob, Unknown, or Refused if there is no job and no room
// for its cancellation, or if callers have caused too many calls to the store. The cancellation is also stored if
// there is no job: a write of its submission may still take effect, or the submission may arrive again at another entry.
// The coordinator then cancels the job when it finds it.
func (g *Gateway) Cancel(ctx context.Context, id string) Reply {
	if !g.calls.allowCancellation() {
		refusedCalls.Inc()
		return g.refuse(id, Refused, errTooManyCalls.Error())
	}
	_, err := g.storedState(ctx, id)
	known := !errors.Is(err, store.ErrNotFound)
	if err != nil && known {
		return g.refuse(id, Unknown, err.Error())
	}
	if !known && !g.config.Admission.AdmitCancellation() {
		refusedWithoutRoom.Inc()
		return g.refuse(id, Refused, errNoRoom.Error())
	}
	if err := g.storeCancellation(ctx, id); err != nil {
		return g.refuse(id, Unknown, err.Error())
	}
	if !known {
		return g.refuse(id, NoJob, "no such job")
	}
	return Reply{Outcome: Accepted}
}

// storeCancellation stores the cancellation of a job, with retries until resolveTimeout or shortly before the deadline.
func (g *Gateway) storeCancellation(ctx context.Context, id string) error {
	key, value := coordinator.CancelKey(id), []byte{1}
	startedAt := time.Now()
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		revision, err := g.config.Store.Commit(call, store.Transaction{Writes: []store.Write{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			g.config.Logger.Info("cancellation stored", "job", id, "revision", revision)
			g.config.Coordinator.NotifyStored(key, value)
			return nil
		}
		if time.Since(startedAt) > resolveTimeout || !g.waitForRetry(ctx) {
			return err
		}
	}
}
