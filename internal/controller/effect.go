package controller

import (
	"time"

	"clementineflow/internal/wire"
)

var eventNames = map[wire.EventType]string{
	wire.EventStarted: "started", wire.EventFinished: "finished", wire.EventFailed: "failed",
	wire.EventEvicted: "evicted", wire.EventStopped: "stopped", wire.EventRefused: "refused",
}

var refusalNames = map[wire.RefusalReason]string{
	wire.RefusalCapacity: "capacity", wire.RefusalZone: "zone out of service", wire.RefusalNoPermit: "no start permit",
	wire.RefusalNoLease: "no lease", wire.RefusalStaleSession: "stale session", wire.RefusalStaleEpoch: "stale epoch",
	wire.RefusalTombstone: "tombstone", wire.RefusalLeaving: "leaving", wire.RefusalRuntime: "runtime",
}

func refusalName(reason wire.RefusalReason) string {
	if name, ok := refusalNames[reason]; ok {
		return name
	}
	return "unknown reason"
}

// recordEffect updates the metrics, the decisions and the health of the worker after a commit.
func (c *Controller) recordEffect(e *effect) {
	if e.after == nil {
		return
	}
	now := time.Now()
	if !e.after.HasAssignment() {
		c.released.add(e.worker, e.after.Spec.Size, now)
	}
	c.decisions.add(e.event.TaskID, Decision{At: now, Action: eventNames[e.event.Type], Worker: e.worker, Reason: e.after.Reason})
	switch e.event.Type {
	case wire.EventStarted:
		recordStart(e.after, now)
	case wire.EventFinished:
		recordFinish(c.document())
		c.workerSucceeded(e, now)
	case wire.EventFailed:
		failedTotal.Inc()
		c.workerFailed(e, now)
	case wire.EventEvicted, wire.EventStopped:
		evictionsTotal.Inc()
	case wire.EventRefused:
		refusedTotal.Inc()
		if e.event.Refusal == wire.RefusalRuntime {
			c.workerFailed(e, now)
		}
	}
}

func (c *Controller) workerFailed(e *effect, now time.Time) {
	workers := len(c.fleet.Views())
	c.learned.mu.Lock()
	before := c.learned.health.Status(e.worker, now)
	c.learned.health.RecordFailure(e.worker, e.event.TaskID, workers, now)
	after := c.learned.health.Status(e.worker, now)
	c.learned.mu.Unlock()
	if before != after {
		c.logger.Warn("worker health changed", "worker", e.worker, "quarantined", true, "task", e.event.TaskID, "reason", e.event.Detail)
	}
}

func (c *Controller) workerSucceeded(e *effect, now time.Time) {
	startedAt := e.before.StartedAt
	if startedAt.IsZero() {
		startedAt = now
	}
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	c.learned.health.RecordSuccess(e.worker, startedAt)
}
