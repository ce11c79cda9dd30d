package runner

import (
	"context"
	"time"

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

// HandleWorkerLeft records a leave call in the name of a worker. The call names no incarnation, and one of an earlier
// incarnation can arrive late, so it ends no runs by itself: the worker counts as lost once it refuses a connection, and
// that is no crash. A worker that still answers leaveTimeout later did not send the call.
func (a *Agent) HandleWorkerLeft(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker.ID != id || a.workerLost {
		return
	}
	a.refusals.Info("leave call of a worker", "worker", id, "leaving", a.worker.Leaving, "runs", len(a.runs))
	a.leftAt = a.config.Now()
	a.wakeLocked()
}

// expireLeaveLocked drops a leave call that the worker has outlasted by leaveTimeout.
func (a *Agent) expireLeaveLocked(now time.Duration) {
	if a.leftAt != 0 && now-a.leftAt > leaveTimeout {
		a.config.Logger.Warn("ignored a leave call: the worker still answers", "worker", a.worker.ID, "born", a.worker.Incarnation)
		a.leftAt = 0
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
// have answered. The worker counts as lost once it has refused connections for refusedTimeout, or one connection after a
// leave call, or has not answered for noAnswerTimeout and its lease has certainly ended.
func (a *Agent) recordFailureLocked(err error) {
	now := a.config.Now()
	if a.endSeenAt == 0 && (errors.Is(err, ErrNotSent) || errors.Is(err, ErrOtherIncarnation)) {
		a.endSeenAt = now
	}
	if !errors.Is(err, ErrNotSent) {
		a.refusedSince = 0
	} else if a.refusedSince == 0 {
		a.refusedSince = now
	}
	if a.workerLost {
		return
	}
	switch {
	case a.refusedSince != 0 && a.leftAt != 0:
		a.config.Logger.Info("worker has left", "worker", a.worker.ID, "runs", len(a.runs))
		a.reportWorkerLostLocked(reasonLeft)
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
	return a.workerLost || other && a.snapshotTaken && a.endsKnown
}
