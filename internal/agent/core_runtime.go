package agent

import (
	"strconv"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

// runningShare is the share of a task that was not throttled, in thousandths.
const runningShare = throttle.FullShare

// isCertain reports whether a failed runtime call certainly had no effect and will have none.
func isCertain(err error) bool {
	return errors.Is(err, runtime.ErrUnavailable) || errors.Is(err, runtime.ErrConflict) ||
		errors.Is(err, runtime.ErrNotFound) || errors.Is(err, runtime.ErrTooLate)
}

// checkLease acts on the beginning and the end of the worker lease. When it ends, all tasks are
// checkpointed and stopped, and then the agent attaches again, so that starts of the old session that
// are still under way are refused.
func (c *core) checkLease() {
	valid := c.lease.Valid(c.now)
	if valid == c.leased {
		return
	}
	c.leased = valid
	if valid {
		c.report(log.InfoLevel, "", "worker lease is valid")
		c.renew()
		return
	}
	c.report(log.WarnLevel, "leases_expired_total", "worker lease has ended; stopping all tasks")
	c.evacuating = true
	c.evacuate()
}

// evacuate evicts every task and attaches again when none is left.
func (c *core) evacuate() {
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
		c.end(a, attemptEvicting)
	}
	if left == 0 && c.attached && !c.attaching {
		c.evacuating = false
		c.beginAttach("the worker lease has ended")
	}
}

// beginAttach gives up the session; the attach call follows at once.
func (c *core) beginAttach(reason string) {
	if c.attaching {
		return
	}
	if c.leaving {
		// The session may belong to the next agent already; taking it back would stop that one.
		c.attached = false
		return
	}
	c.attaching = true
	c.attachAt = c.now
	c.report(log.InfoLevel, "attachments_total", "attach to the worker runtime", field{"reason", reason})
	c.do(attachRuntime{})
}

// attachIfDue attaches for the first time and after failures, and completes an evacuation.
func (c *core) attachIfDue() {
	if c.evacuating {
		c.evacuate()
	}
	if !c.attached && !c.attaching && !c.leaving && c.due(c.attachAt, retryInterval) {
		c.beginAttach("no session")
	}
}

// onAttachResult adopts what the runtime holds.
func (c *core) onAttachResult(result attachResult) {
	c.attaching = false
	if result.err != nil {
		c.attached = false
		c.report(log.WarnLevel, "", "could not attach to the worker runtime", field{"error", result.err.Error()})
		return
	}
	c.changeSession(result.attachment)
	c.adopt(result.attachment.Tasks)
	c.closeAllLinks()
	c.greetAll()
	c.renew()
	if c.evacuating {
		c.evacuate()
	}
}

// changeSession takes over a new session. Starts that wait are meant for the old one, and what is
// known about another boot does not hold for this one.
func (c *core) changeSession(attachment runtime.Attachment) {
	if attachment.Session.BootID != c.session.BootID {
		c.lease.Reset()
		c.leased, c.evacuating = false, false
		clear(c.tombstones)
		c.dropAttempts()
	}
	if c.clearTombstones {
		clear(c.tombstones)
		c.clearTombstones = false
	}
	c.session = attachment.Session
	c.attached = true
	c.renewing, c.listing = false, false
	clear(c.pending)
	c.table.SetCapacity(c.identity.limits.capacity(attachment.Capacity))
	c.report(log.InfoLevel, "", "attached to the worker runtime", field{"boot", c.session.BootID},
		field{"session", strconv.FormatUint(c.session.Number, 10)},
		field{"tasks", strconv.Itoa(len(attachment.Tasks))})
}

// dropAttempts forgets the attempts of another boot; entries move them by the lease rules.
func (c *core) dropAttempts() {
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.state == attemptEnded && a.outgoing != nil {
			c.refusals[key] = a.outgoing
		}
	}
	clear(c.attempts)
	c.table.ReleaseAllTasks()
}

// adopt brings the held attempts in line with the list of a new session. Calls of the old session have
// either taken effect before it, or never will.
func (c *core) adopt(statuses []runtime.Status) {
	listed := map[capacity.TaskKey]*runtime.Status{}
	for i := range statuses {
		status := &statuses[i]
		listed[capacity.TaskKey{TaskID: status.TaskID, Attempt: status.Attempt}] = status
	}
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		a.op = 0
		if listed[key] == nil {
			c.missing(a)
		}
	}
	for _, key := range sortedTasks(listed) {
		c.reconcile(key, listed[key])
	}
}

// missing ends an attempt that the runtime does not hold.
func (c *core) missing(a *attempt) {
	switch a.state {
	case attemptStarting:
		c.forgetStart(a, "the start call had no effect")
	case attemptEnded:
		if a.outgoing == nil {
			delete(c.attempts, a.key)
		}
	default:
		c.ended(a, wire.TaskEvent{Type: wire.EventStopped, Detail: "the runtime does not hold the attempt"})
	}
}

// reconcile applies one listed status to the held attempt, or adopts it.
func (c *core) reconcile(key capacity.TaskKey, status *runtime.Status) {
	a, held := c.attempts[key]
	if !held {
		c.adoptAttempt(key, status)
		return
	}
	if a.state == attemptEnded || a.state == attemptStarting && a.op != 0 {
		return
	}
	a.observe(status)
	if status.Phase != runtime.PhaseRunning {
		c.endedAtRuntime(a, status)
		return
	}
	if a.state == attemptStarting {
		c.onStarted(a)
	}
}

// adoptAttempt takes over an attempt that the runtime holds and the agent does not.
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
	a.observe(status)
	c.attempts[key] = a
	if status.Phase != runtime.PhaseRunning {
		c.endedAtRuntime(a, status)
		return
	}
	c.table.AdoptTask(key, status.Size)
	c.report(log.InfoLevel, "adoptions_total", "adopted a running task", taskFields(key, field{"class", a.class})...)
	if key.Attempt <= c.tombstones[key.TaskID] {
		a.reason = "the attempt was ended or refused"
		c.end(a, attemptEvicting)
		return
	}
	c.emit(a, wire.TaskEvent{Type: wire.EventStarted})
}

// endedAtRuntime records how an attempt has ended according to the runtime.
func (c *core) endedAtRuntime(a *attempt, status *runtime.Status) {
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
	c.ended(a, event)
}

// greetAll sends Hello on links that waited for the session.
func (c *core) greetAll() {
	for _, id := range sortedLinks(c.links) {
		c.greet(id)
	}
}

// renewIfDue renews the leases of the tasks.
func (c *core) renewIfDue() {
	if c.due(c.renewedAt, renewInterval) {
		c.renew()
	}
}

// renew extends the leases of the tasks to the end of the worker lease.
func (c *core) renew() {
	if !c.attached || c.attaching || c.renewing || c.evacuating || !c.lease.Valid(c.now) {
		return
	}
	c.renewing, c.renewedAt = true, c.now
	c.do(renewLease{session: c.session, until: c.lease.Until()})
}

func (c *core) onRenewResult(result renewResult) {
	if result.session != c.session {
		return
	}
	c.renewing = false
	if errors.Is(result.err, runtime.ErrStaleSession) {
		c.beginAttach("another agent has attached")
		return
	}
	if c.due(result.beganAt, slowRenewal) {
		c.renew()
	}
}

// listIfDue lists the attempts at the runtime.
func (c *core) listIfDue() {
	if !c.attached || c.attaching || c.listing || !c.due(c.listedAt, listInterval) {
		return
	}
	c.listing, c.listedAt = true, c.now
	c.do(listTasks{session: c.session})
}

// onListResult brings the held attempts in line with what the runtime holds.
func (c *core) onListResult(result listResult) {
	if result.session != c.session {
		return
	}
	c.listing = false
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
		if listed[key] == nil && a.op == 0 && a.runningSince.Before(result.beganAt) && a.state != attemptStarting {
			c.missing(a)
		}
	}
	for _, key := range sortedTasks(listed) {
		if _, held := c.attempts[key]; held || c.forgottenAt.Before(result.beganAt) {
			c.reconcile(key, listed[key])
		}
	}
}

// onCallResult takes the result of a call about an attempt. A result of a replaced call is dropped.
func (c *core) onCallResult(result callResult) {
	a, ok := c.attempts[result.key]
	if !ok || a.op != result.op {
		return
	}
	a.op = 0
	if errors.Is(result.err, runtime.ErrStaleSession) {
		c.beginAttach("another agent has attached")
		return
	}
	switch result.kind {
	case callStart:
		c.onStartResult(a, result.err)
	case callEvict:
		if result.err == nil {
			c.ended(a, wire.TaskEvent{Type: wire.EventEvicted, Checkpoint: result.checkpoint, Detail: a.reason})
		}
	case callStop:
		if result.err == nil {
			c.ended(a, wire.TaskEvent{Type: wire.EventStopped, Detail: a.reason})
		}
	case callForget:
		if result.err == nil || errors.Is(result.err, runtime.ErrNotFound) {
			delete(c.attempts, a.key)
			c.forgottenAt = c.now
		}
	case callThrottle:
		if result.err != nil {
			a.throttle = 0 // unknown; the control loop sets it again
		}
	}
}

// taskStatuses returns all held attempts for a report.
func (c *core) taskStatuses() []wire.TaskStatus {
	statuses := make([]wire.TaskStatus, 0, len(c.attempts))
	for _, key := range sortedTasks(c.attempts) {
		statuses = append(statuses, c.attempts[key].status())
	}
	return statuses
}
