package agent

import (
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

// fullShare is the processor share of a task that is not throttled, in thousandths.
const fullShare = throttle.FullShare

// hadNoEffect reports whether a failed runtime call certainly had no effect and cannot take effect later.
func hadNoEffect(err error) bool {
	return errors.Is(err, runtime.ErrUnavailable) || errors.Is(err, runtime.ErrConflict) ||
		errors.Is(err, runtime.ErrNotFound) || errors.Is(err, runtime.ErrTooLate)
}

// checkLease handles a change in the validity of the worker lease. When the lease ends, all tasks are
// evicted, and then the agent attaches again so that the runtime refuses starts of the old session that
// are still in flight.
func (c *core) checkLease() {
	valid := c.lease.Valid(c.now)
	if valid == c.leaseWasValid {
		return
	}
	c.leaseWasValid = valid
	if valid {
		c.logDecision(log.InfoLevel, "", "worker lease is valid")
		c.renewTaskLeases()
		return
	}
	c.logDecision(log.WarnLevel, "leases_expired_total", "worker lease has ended; evicting all tasks")
	c.evacuating = true
	c.evictAllTasks()
}

// evictAllTasks evicts every task and attaches again once none is left.
func (c *core) evictAllTasks() {
	left := 0
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if !a.holdsResources() {
			continue
		}
		left++
		if a.reason == "" {
			a.reason = "the worker lease has ended"
		}
		c.endAttempt(a, attemptEvicting)
	}
	if left == 0 && c.attached && !c.attaching {
		c.evacuating = false
		c.beginAttach("the worker lease has ended")
	}
}

// sendHellos sends Hello on the links that were opened before the session was available.
func (c *core) sendHellos() {
	for _, id := range sortedLinks(c.links) {
		c.sendHello(id)
	}
}

// renewTaskLeasesIfDue renews the task leases every renewInterval.
func (c *core) renewTaskLeasesIfDue() {
	if c.due(c.lastRenewalAt, renewInterval) {
		c.renewTaskLeases()
	}
}

// renewTaskLeases extends the task leases at the runtime to the end of the worker lease.
func (c *core) renewTaskLeases() {
	if !c.attached || c.attaching || c.renewalInFlight || c.evacuating || !c.lease.Valid(c.now) {
		return
	}
	c.renewalInFlight, c.lastRenewalAt = true, c.now
	c.addAction(renewLease{session: c.session, until: c.lease.Until()})
}

// onRenewResult handles the result of a renewal. A slow renewal is repeated at once.
func (c *core) onRenewResult(result renewResult) {
	if result.session != c.session {
		return
	}
	c.renewalInFlight = false
	if errors.Is(result.err, runtime.ErrStaleSession) {
		c.beginAttach("another agent has attached")
		return
	}
	if c.due(result.beganAt, slowRenewalThreshold) {
		c.renewTaskLeases()
	}
}

// listTasksIfDue lists the runtime's attempts every listInterval.
func (c *core) listTasksIfDue() {
	if !c.attached || c.attaching || c.listInFlight || !c.due(c.lastListAt, listInterval) {
		return
	}
	c.listTasks()
}

// listTasks lists the runtime's attempts.
func (c *core) listTasks() {
	c.listInFlight, c.lastListAt = true, c.now
	c.addAction(listTasks{session: c.session})
}

// onListResult reconciles the tracked attempts with the runtime's list. Attempts that started or were
// forgotten after the list call began are skipped, since the list may predate the change.
func (c *core) onListResult(result listResult) {
	if result.session != c.session {
		return
	}
	c.listInFlight = false
	if errors.Is(result.err, runtime.ErrStaleSession) {
		c.beginAttach("another agent has attached")
	}
	if result.err != nil || c.attaching {
		return
	}
	listed := map[capacity.TaskKey]*runtime.Status{}
	for i := range result.tasks {
		status := &result.tasks[i]
		listed[capacity.TaskKey{TaskID: status.TaskID, Attempt: status.Attempt}] = status
	}
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if listed[key] == nil && a.callID == 0 && a.runningSince.Before(result.beganAt) && a.state != attemptStarting {
			c.endMissingAttempt(a)
		}
	}
	for _, key := range sortedTasks(listed) {
		if _, held := c.attempts[key]; held || c.lastForgetAt.Before(result.beganAt) {
			c.reconcileAttempt(key, listed[key])
		}
	}
}

// onCallResult handles the result of a call about one attempt. Results of superseded calls are ignored.
func (c *core) onCallResult(result callResult) {
	a, ok := c.attempts[result.key]
	if !ok || a.callID != result.callID {
		return
	}
	a.callID = 0
	if errors.Is(result.err, runtime.ErrStaleSession) {
		c.beginAttach("another agent has attached")
		return
	}
	switch result.kind {
	case callStart:
		c.onStartResult(a, result.err)
	case callEvict:
		if result.err == nil {
			c.recordEnd(a, wire.TaskEvent{Type: wire.EventEvicted, Checkpoint: result.checkpoint, Detail: a.reason})
		}
	case callStop:
		if result.err == nil {
			c.recordEnd(a, wire.TaskEvent{Type: wire.EventStopped, Detail: a.reason})
		}
	case callForget:
		if result.err == nil || errors.Is(result.err, runtime.ErrNotFound) {
			delete(c.attempts, a.key)
			c.lastForgetAt = c.now
		}
	case callThrottle:
		if result.err != nil {
			a.throttle = 0 // the share at the runtime is unknown; the control loop sets it again
		}
	}
}

// taskStatuses returns the status of all tracked attempts for Hello.
func (c *core) taskStatuses() []wire.TaskStatus {
	statuses := make([]wire.TaskStatus, 0, len(c.attempts))
	for _, key := range sortedTasks(c.attempts) {
		statuses = append(statuses, c.attempts[key].status())
	}
	return statuses
}
