package agent

import (
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

// pendingStart is an ordered start that waits for the worker lease, the start permit or the attachment.
type pendingStart struct {
	order *wire.StartTask
	// orderedAt is when the order last arrived.
	orderedAt  time.Time
	waitLogged bool
}

// taskKeyOf returns the key of the attempt that an order names.
func taskKeyOf(order wire.Order) capacity.TaskKey {
	return capacity.TaskKey{TaskID: order.TaskID, Attempt: order.Attempt}
}

// onStartTask handles an order to start an attempt. It is idempotent: repeating the order starts the
// attempt only once.
func (c *core) onStartTask(start *wire.StartTask) {
	key := taskKeyOf(start.Order)
	if known, ok := c.attempts[key]; ok {
		c.resendStatus(known)
		return
	}
	if reason, detail := c.permanentRefusal(start); reason != wire.RefusalNone {
		delete(c.pending, key)
		c.refuse(start.Order, reason, detail)
		return
	}
	c.epochs[start.Order.Shard] = start.Order.Epoch
	known, ok := c.pending[key]
	if !ok {
		if len(c.pending) >= maxPending {
			return // the shard owner repeats the order
		}
		known = &pendingStart{}
		c.pending[key] = known
	}
	known.order, known.orderedAt = start, c.now
	c.tryStart(key)
}

// permanentRefusal returns the reason and detail why the attempt must never start, or RefusalNone.
func (c *core) permanentRefusal(start *wire.StartTask) (wire.RefusalReason, string) {
	order := start.Order
	switch {
	case order.Session != c.session:
		return wire.RefusalStaleSession, "the start is meant for another session"
	case order.Epoch < c.epochs[order.Shard]:
		return wire.RefusalStaleEpoch, "a newer owner of the shard is known"
	case order.Attempt <= c.tombstones[order.TaskID]:
		return wire.RefusalTombstone, "the attempt was ended or refused"
	case c.leaving:
		return wire.RefusalLeaving, "the agent is stopping"
	case start.Size.Validate() != nil:
		return wire.RefusalCapacity, "the size is negative"
	}
	for key, held := range c.attempts {
		if key.TaskID == order.TaskID && held.holdsResources() {
			return wire.RefusalRuntime, "attempt " + strconv.FormatUint(uint64(key.Attempt), 10) + " is running"
		}
	}
	return wire.RefusalNone, ""
}

// tryStart starts or refuses a pending attempt, unless it has to keep waiting.
func (c *core) tryStart(key capacity.TaskKey) {
	pending := c.pending[key]
	if reason := c.startWaitReason(); reason != "" {
		if !pending.waitLogged {
			pending.waitLogged = true
			c.logDecision(log.InfoLevel, "starts_delayed_total", "start delayed", taskFields(key, field{"reason", reason})...)
		}
		return
	}
	delete(c.pending, key)
	start := pending.order
	if reason, detail := c.permanentRefusal(start); reason != wire.RefusalNone {
		c.refuse(start.Order, reason, detail)
		return
	}
	if !c.document.ZoneInService(c.identity.zone) {
		c.refuse(start.Order, wire.RefusalZone, "zone "+c.identity.zone+" is out of service")
		return
	}
	if len(c.attempts) >= maxAttempts {
		c.refuse(start.Order, wire.RefusalCapacity, "too many attempts are held")
		return
	}
	if err := c.table.AdmitTask(key, start.Size); err != nil {
		c.refuse(start.Order, wire.RefusalCapacity, err.Error())
		return
	}
	c.startAttempt(key, start)
}

// startWaitReason returns why starts have to wait, or an empty string if they may proceed.
func (c *core) startWaitReason() string {
	switch {
	case !c.attached || c.attaching || c.evacuating:
		return "the worker runtime is being attached"
	case !c.lease.Valid(c.now):
		return "no worker lease"
	case !c.permit.Valid(c.now):
		return "the configuration is not known to be current"
	default:
		return ""
	}
}

// startAttempt issues the start call of an admitted attempt.
func (c *core) startAttempt(key capacity.TaskKey, start *wire.StartTask) {
	a := &attempt{
		key:      key,
		kind:     start.TaskKind,
		class:    start.Class,
		size:     start.Size,
		state:    attemptStarting,
		session:  c.session,
		callID:   c.nextCallID(),
		calledAt: c.now,
		throttle: fullShare,
	}
	c.attempts[key] = a
	c.addAction(callRuntime{
		callID:     a.callID,
		kind:       callStart,
		session:    c.session,
		key:        key,
		leaseUntil: c.lease.Until(),
		notAfter:   c.now.Add(startCallWindow),
		start: runtime.StartRequest{
			Session:    c.session,
			TaskID:     key.TaskID,
			Attempt:    key.Attempt,
			Kind:       start.TaskKind,
			Class:      start.Class,
			Service:    start.Service,
			Size:       start.Size,
			Payload:    start.Payload,
			Checkpoint: start.Checkpoint,
		},
	})
	c.logDecision(log.InfoLevel, "starts_total", "starting task", taskFields(key,
		field{"class", start.Class}, field{"shard", strconv.Itoa(int(start.Order.Shard))},
		field{"epoch", strconv.FormatUint(start.Order.Epoch, 10)})...)
}

// tryPendingStarts tries all pending starts and drops those whose order is no longer repeated.
func (c *core) tryPendingStarts() {
	for _, key := range sortedTasks(c.pending) {
		if c.due(c.pending[key].orderedAt, pendingStartTimeout) {
			delete(c.pending, key)
			continue
		}
		c.tryStart(key)
	}
}

// refuse reports that an attempt was not started. The refusal is final because the shard owner may
// assign the task elsewhere, so a tombstone prevents a repeated order from starting the attempt.
func (c *core) refuse(order wire.Order, reason wire.RefusalReason, detail string) {
	key := taskKeyOf(order)
	c.setTombstone(key)
	event := wire.TaskEvent{
		TaskID:  order.TaskID,
		Attempt: order.Attempt,
		Type:    wire.EventRefused,
		Refusal: reason,
		Detail:  detail,
		Session: order.Session,
	}
	if reason == wire.RefusalStaleEpoch {
		event.StaleEpoch = c.epochs[order.Shard]
	}
	c.sendDetachedEvent(key, event)
	c.logDecision(log.WarnLevel, `starts_refused_total{reason="`+refusalNames[reason]+`"}`, "refused start",
		taskFields(key, field{"reason", refusalNames[reason]}, field{"detail", detail})...)
}

// setTombstone bars the attempt and all lower attempts of the task from starting. If there are too many
// tombstones, it attaches again to clear them.
func (c *core) setTombstone(key capacity.TaskKey) {
	if key.Attempt <= c.tombstones[key.TaskID] {
		return
	}
	c.tombstones[key.TaskID] = key.Attempt
	if len(c.tombstones) > maxTombstones && c.attached && !c.clearTombstones {
		c.clearTombstones = true
		c.beginAttach("too many tombstones")
	}
}

// onStartResult handles the result of a start call.
func (c *core) onStartResult(a *attempt, err error) {
	switch {
	case err == nil:
		c.onStarted(a)
	case hadNoEffect(err):
		c.refuseFailedStart(a, err.Error())
	default:
		// The start call can still reach the runtime. A new session makes the runtime refuse it, and the
		// task list of the new session shows whether it has taken effect.
		c.beginAttach("the outcome of a start is unknown")
	}
}

// onStarted records a successful start and executes an eviction or stop that was requested meanwhile.
func (c *core) onStarted(a *attempt) {
	a.state, a.runningSince = attemptRunning, c.now
	c.sendEvent(a, wire.TaskEvent{Type: wire.EventStarted})
	if c.evacuating && a.requestedEnd == 0 {
		a.requestedEnd, a.reason = attemptEvicting, "the worker lease has ended"
	}
	if a.requestedEnd != 0 {
		c.callEndAttempt(a, a.requestedEnd)
	}
}

// refuseFailedStart drops and refuses an attempt whose start call certainly had no effect.
func (c *core) refuseFailedStart(a *attempt, detail string) {
	delete(c.attempts, a.key)
	c.table.ReleaseTask(a.key)
	c.refuse(wire.Order{TaskID: a.key.TaskID, Attempt: a.key.Attempt, Session: a.session}, wire.RefusalRuntime, detail)
}
