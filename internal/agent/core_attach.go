package agent

import (
	"strconv"

	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

// beginAttach starts an attach call unless one is in flight. A leaving agent drops its session instead.
func (c *core) beginAttach(reason string) {
	if c.attaching {
		return
	}
	if c.leaving {
		// The next agent may have attached already. Attaching again would replace its session.
		c.attached = false
		return
	}
	c.attaching = true
	c.lastAttachAt = c.now
	c.logDecision(log.InfoLevel, "attachments_total", "attaching to the worker runtime", field{"reason", reason})
	c.addAction(attachRuntime{})
}

// attachIfDue continues an evacuation, and attaches initially and after a failed attach.
func (c *core) attachIfDue() {
	if c.evacuating {
		c.evictAllTasks()
	}
	if !c.attached && !c.attaching && !c.leaving && c.due(c.lastAttachAt, retryInterval) {
		c.beginAttach("no session")
	}
}

// onAttachResult applies the new session and reconciles the attempts with the runtime's list. The links
// are opened again so that each entry gets a Hello with the new session.
func (c *core) onAttachResult(result attachResult) {
	c.attaching = false
	if result.err != nil {
		c.attached = false
		c.logDecision(log.WarnLevel, "", "could not attach to the worker runtime", field{"error", result.err.Error()})
		return
	}
	c.applyAttachment(result.attachment)
	c.reconcileSession(result.attachment.Tasks)
	c.closeAllLinks()
	c.sendHellos()
	c.renewTaskLeases()
	if c.evacuating {
		c.evictAllTasks()
	}
}

// applyAttachment switches to the new session. Pending starts were ordered for the old session and are
// dropped. If the worker has booted since, the lease, the tombstones and the attempts are reset too.
func (c *core) applyAttachment(attachment runtime.Attachment) {
	if attachment.Session.BootID != c.session.BootID {
		c.lease.Reset()
		c.leaseWasValid, c.evacuating = false, false
		clear(c.tombstones)
		c.dropAttempts()
	}
	if c.clearTombstones {
		clear(c.tombstones)
		c.clearTombstones = false
	}
	c.session = attachment.Session
	c.attached = true
	c.renewalInFlight, c.listInFlight = false, false
	clear(c.pending)
	c.table.SetCapacity(c.identity.limits.usableCapacity(attachment.Capacity))
	c.logDecision(log.InfoLevel, "", "attached to the worker runtime", field{"boot", c.session.BootID},
		field{"session", strconv.FormatUint(c.session.Number, 10)},
		field{"tasks", strconv.Itoa(len(attachment.Tasks))})
}

// dropAttempts drops the attempts of an earlier boot but keeps the unacknowledged events of ended ones.
// Entries reassign the other attempts by the lease rules.
func (c *core) dropAttempts() {
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.state == attemptEnded && a.unackedEvent != nil {
			c.detachedEvents[key] = a.unackedEvent
		}
	}
	clear(c.attempts)
	c.table.ReleaseAllTasks()
}

// reconcileSession reconciles the tracked attempts with the task list of a new session. Calls of the old
// session have either taken effect before the list or never will.
func (c *core) reconcileSession(statuses []runtime.Status) {
	listed := map[capacity.TaskKey]*runtime.Status{}
	for i := range statuses {
		status := &statuses[i]
		listed[capacity.TaskKey{TaskID: status.TaskID, Attempt: status.Attempt}] = status
	}
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		a.callID = 0
		if listed[key] == nil {
			c.endMissingAttempt(a)
		}
	}
	for _, key := range sortedTasks(listed) {
		c.reconcileAttempt(key, listed[key])
	}
}

// endMissingAttempt ends a tracked attempt that the runtime does not list.
func (c *core) endMissingAttempt(a *attempt) {
	switch a.state {
	case attemptStarting:
		c.refuseFailedStart(a, "the start call had no effect")
	case attemptEnded:
		if a.unackedEvent == nil {
			delete(c.attempts, a.key)
		}
	default:
		c.recordEnd(a, wire.TaskEvent{Type: wire.EventStopped, Detail: "the runtime does not hold the attempt"})
	}
}

// reconcileAttempt applies a listed status to the tracked attempt, or adopts an untracked one.
func (c *core) reconcileAttempt(key capacity.TaskKey, status *runtime.Status) {
	a, held := c.attempts[key]
	if !held {
		c.adoptAttempt(key, status)
		return
	}
	if a.state == attemptEnded || a.state == attemptStarting && a.callID != 0 {
		return
	}
	a.updateFromStatus(status)
	if status.Phase != runtime.PhaseRunning {
		c.recordEndFromStatus(a, status)
		return
	}
	if a.state == attemptStarting {
		c.onStarted(a)
	}
}

// adoptAttempt tracks an attempt that the runtime lists and the agent does not track yet.
func (c *core) adoptAttempt(key capacity.TaskKey, status *runtime.Status) {
	a := &attempt{
		key:          key,
		kind:         status.Kind,
		class:        status.Class,
		size:         status.Size,
		state:        attemptRunning,
		session:      c.session,
		runningSince: c.now,
		throttle:     status.ThrottlePermille,
	}
	a.updateFromStatus(status)
	c.attempts[key] = a
	if status.Phase != runtime.PhaseRunning {
		c.recordEndFromStatus(a, status)
		return
	}
	c.table.AdoptTask(key, status.Size)
	c.logDecision(log.InfoLevel, "adoptions_total", "adopted a running task", taskFields(key, field{"class", a.class})...)
	if key.Attempt <= c.tombstones[key.TaskID] {
		a.reason = "the attempt was ended or refused"
		c.endAttempt(a, attemptEvicting)
		return
	}
	c.sendEvent(a, wire.TaskEvent{Type: wire.EventStarted})
}

// recordEndFromStatus records the end of an attempt from the status that the runtime lists.
func (c *core) recordEndFromStatus(a *attempt, status *runtime.Status) {
	event := wire.TaskEvent{Detail: status.Reason, Checkpoint: status.Checkpoint, Result: status.Result}
	switch {
	case status.Phase == runtime.PhaseFinished:
		event.Type = wire.EventFinished
	case status.Phase == runtime.PhaseFailed:
		event.Type = wire.EventFailed
	case status.Checkpoint != "":
		event.Type = wire.EventEvicted
	default:
		event.Type = wire.EventStopped
	}
	c.recordEnd(a, event)
}
