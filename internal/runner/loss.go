package runner

import (
	"context"

	"github.com/pkg/errors"
)

// probeWorker checks whether a worker listens on the machine while none has sent a status to this process of the agent.
// A restarted agent would otherwise wait for ever for a worker that was lost for good.
func (a *Agent) probeWorker(ctx context.Context) {
	a.mu.Lock()
	lost := a.workerLost
	a.mu.Unlock()
	if lost {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.config.Worker.Probe(callCtx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.ID == "" && ctx.Err() == nil {
		a.recordFailureLocked(err)
	}
}

// handlePollError records a poll without an answer of the known incarnation of the worker.
func (a *Agent) handlePollError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnationVerified = false
	a.markFailingLocked(a.config.Now())
	a.recordFailureLocked(err)
}

// recordFailureLocked records that the known incarnation of the worker did not answer; err is nil if another one may
// have answered. The worker counts as lost once it has refused connections for refusedTimeout, or has not answered for
// noAnswerTimeout and its lease has certainly ended.
func (a *Agent) recordFailureLocked(err error) {
	now := a.config.Now()
	if !errors.Is(err, ErrNotSent) {
		a.refusedSince = 0
	} else if a.refusedSince == 0 {
		a.refusedSince = now
	}
	if a.workerLost {
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

// runsEndedLocked reports whether all runs that were ordered for an incarnation of the worker have certainly ended and
// none can start any more. It is false while the agent does not know the worker: an incarnation that it has not heard
// of, or not read the runs of, may be active.
func (a *Agent) runsEndedLocked(workerID string, incarnation int64) bool {
	other := workerID != a.worker.ID || incarnation != a.worker.Incarnation
	return a.workerLost || other && a.snapshotTaken
}
