package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/backlog"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// Submit stores a job and returns the reply for the caller. The spec must have its ID, payload and steps; Submit
// sets the other fields.
func (g *Gateway) Submit(ctx context.Context, host, path string, spec *job.Spec) (reply Reply) {
	if !g.unsettled.begin(spec.ID, time.Now()) {
		return g.refuse(spec.ID, Refused, "too many submissions in progress")
	}
	outcome := Unknown // also if submit panics
	defer func() {
		if g.unsettled.end(spec.ID, outcome, time.Now()) && reply.Outcome == Refused {
			// The write of another submission may have taken effect.
			reply.Outcome = Unknown
		}
		switch {
		case reply.Outcome == Unknown:
			unknownOutcomes.Inc()
		case reply.Outcome == Refused && reply.storeFailed:
			refusedUnwritten.Inc()
		}
	}()
	reply = g.submit(ctx, host, path, spec)
	outcome = reply.Outcome
	return reply
}

// submit tries to store a job until the outcome is known or the time for attempts is up.
func (g *Gateway) submit(ctx context.Context, host, path string, spec *job.Spec) Reply {
	switch err := spec.Validate(); {
	case errors.Is(err, job.ErrUnsupported):
		return g.refuse(spec.ID, Refused, err.Error())
	case err != nil:
		return g.refuse(spec.ID, Invalid, err.Error())
	}
	if err := g.checkStore(ctx); err != nil {
		return g.refuseInOutage(spec.ID, err)
	}
	startedAt := time.Now()
	// maybeStored is set once a write may have taken effect.
	maybeStored := false
	for attemptedAt := startedAt; ; attemptedAt = time.Now() {
		reply, err := g.attempt(ctx, host, path, spec, attemptedAt.After(startedAt))
		answeredAt := time.Now()
		if err == nil {
			g.outage.recordSuccess(answeredAt.Sub(attemptedAt), answeredAt)
			if maybeStored && reply.Outcome != Accepted {
				// An earlier attempt may still take effect.
				reply.Outcome = Unknown
			}
			return reply
		}
		failedSince := attemptedAt
		if errors.Is(err, store.ErrOutcomeUnknown) {
			// A call without an answer counts as failed once it has timed out.
			maybeStored, failedSince = true, answeredAt
		}
		if !errors.Is(err, store.ErrThrottled) && !store.EndedEarly(ctx, attemptedAt) {
			g.outage.recordFailure(failedSince, answeredAt)
		}
		if !maybeStored && (g.outage.isKnown() || answeredAt.Sub(startedAt) > refuseAfter) {
			return g.refuseUnwritten(spec.ID, err)
		}
		if maybeStored && time.Since(startedAt) > resolveTimeout || !g.waitForRetry(ctx) {
			return g.refuseUnconfirmed(spec.ID, maybeStored, err)
		}
	}
}

// attempt makes one attempt to store a job. A repeated one reads the store first if the store is suspect.
func (g *Gateway) attempt(ctx context.Context, host, path string, spec *job.Spec, repeated bool) (Reply, error) {
	if repeated && g.config.Monitor.suspicion.isSuspect() {
		if err := g.confirmStore(ctx, g.outage.nextStart()); err != nil {
			return Reply{}, errors.Wrap(store.ErrUnavailable, err.Error())
		}
	}
	return g.storeJob(ctx, host, path, spec)
}

// waitForRetry waits for the next attempt, and reports whether the caller's deadline allows one.
func (g *Gateway) waitForRetry(ctx context.Context) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < replyMargin {
		return false
	}
	return wait.Sleep(ctx, retryDelay)
}

// refuseUnconfirmed returns the reply for a job that is not known to be stored: Unknown if a write may have taken
// effect, or else Refused.
func (g *Gateway) refuseUnconfirmed(id string, maybeStored bool, err error) Reply {
	if maybeStored {
		return g.refuse(id, Unknown, err.Error())
	}
	return g.refuseUnwritten(id, err)
}

// refuseUnwritten refuses a job of which no write may have taken effect because of an error of the store.
func (g *Gateway) refuseUnwritten(id string, err error) Reply {
	reply := g.refuse(id, Refused, err.Error())
	reply.storeFailed = true
	return reply
}

// storeJob makes one attempt to store a job, on condition that the configuration is current.
func (g *Gateway) storeJob(ctx context.Context, host, path string, spec *job.Spec) (Reply, error) {
	queue, snapshot, err := g.Route(ctx, host, path)
	if errors.Is(err, store.ErrNotFound) {
		return g.refuse(spec.ID, NoQueue, "no such queue"), nil
	}
	if err != nil {
		return Reply{}, err
	}
	if queue.NeedsPlacementAdvice {
		return g.refuse(spec.ID, Refused, "queues with placement advice are not supported"), nil
	}
	if !g.calls.allowSubmission(queue.Name) {
		return g.refuseUnlessStored(ctx, spec.ID, errTooManyCalls), nil
	}
	if !g.config.Admission.AdmitJob(queue.Name, backlog.JobBytes(spec)) {
		return g.refuseUnlessStored(ctx, spec.ID, errNoRoom), nil
	}
	spec.Queue, spec.Service, spec.MaxAttempts = queue.Name, queue.Service, queue.AttemptLimit()
	spec.AcceptedAt = time.Now().UTC()
	value, err := job.EncodeSpec(spec)
	if err != nil {
		return g.refuse(spec.ID, Invalid, err.Error()), nil
	}
	key, conditions := coordinator.JobKey(spec.ID), g.config.View.Conditions(snapshot, false)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.goBackground("watch of a write", func() { g.watchSilence(call) })
	sent := time.Now()
	revision, withdrawn, err := g.commitJob(call, spec.ID, value, conditions)
	if err != nil {
		return g.handleCommitError(spec.ID, key, snapshot, err, sent)
	}
	g.config.Logger.Info("job stored", "job", spec.ID, "queue", queue.Name, "revision", revision,
		"config", snapshot.Config.Version, "withdrawn", withdrawn)
	if !withdrawn {
		g.config.Coordinator.NotifyStored(key, value)
	}
	return Reply{Outcome: Accepted}, nil
}

// commitJob writes a job on the conditions, and on condition that it is not stored yet. A job that was cancelled before,
// for which withdrawn is set, is written as well, but must not be notified: the coordinator must find it in its watch,
// behind the cancellation.
func (g *Gateway) commitJob(
	ctx context.Context, id string, value []byte, conditions []store.Condition,
) (revision store.Revision, withdrawn bool, err error) {
	key, cancelKey := coordinator.JobKey(id), coordinator.CancelKey(id)
	unstored := slices.Concat(conditions, []store.Condition{{Key: key}})
	write := store.Transaction{
		Conditions: slices.Concat(unstored, []store.Condition{{Key: cancelKey}}),
		Writes:     []store.Write{{Key: key, Value: value}},
	}
	revision, err = g.config.Store.Commit(ctx, write)
	if !isWithdrawn(err, key, cancelKey) {
		return revision, false, err
	}
	write.Conditions = unstored
	revision, err = g.config.Store.Commit(ctx, write)
	return revision, true, err
}

// isWithdrawn reports whether a commit of a job failed because the job was cancelled before it was stored.
func isWithdrawn(err error, key, cancelKey string) bool {
	var failed *store.ConditionError
	return errors.As(err, &failed) && failed.Revision(key) == 0 && failed.Revision(cancelKey) != 0
}

// handleCommitError handles a failed commit of a job. A job that is already stored counts as accepted.
func (g *Gateway) handleCommitError(id, key string, snapshot operatorconfig.Snapshot, err error, sent time.Time) (Reply, error) {
	var failed *store.ConditionError
	if !errors.As(err, &failed) {
		return Reply{}, err
	}
	if failed.Revision(key) != 0 {
		g.refusals.Info("job is already stored", "job", id, "revision", failed.Revision(key))
		return Reply{Outcome: Accepted}, nil
	}
	g.config.View.ApplyFailedConditions(snapshot, failed, false, sent)
	return Reply{}, errors.Wrap(store.ErrUnavailable, "configuration has changed")
}
