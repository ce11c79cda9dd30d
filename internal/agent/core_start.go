package agent

import (
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/runtime"
	"clementineflow/internal/wire"
)

// pendingStart is a start that waits for the lease, the permit or the runtime.
type pendingStart struct {
	order  *wire.StartTask
	seenAt time.Time
	logged bool
}

// keyOf returns the attempt that an order is about.
func keyOf(order wire.Order) capacity.TaskKey {
	return capacity.TaskKey{TaskID: order.TaskID, Attempt: order.Attempt}
}

// onStartTask decides about a start. A repeated start has one effect.
func (c *core) onStartTask(start *wire.StartTask) {
	key := keyOf(start.Order)
	if known, ok := c.attempts[key]; ok {
		c.repeatStatus(known)
		return
	}
	if reason, detail := c.refuseForGood(start); reason != wire.RefusalNone {
		delete(c.pending, key)
		c.refuse(start.Order, reason, detail)
		return
	}
	c.epochs[start.Order.Shard] = start.Order.Epoch
	known, ok := c.pending[key]
	if !ok {
		if len(c.pending) >= maxPending {
			return // the owner repeats the start
		}
		known = &pendingStart{}
		c.pending[key] = known
	}
	known.order, known.seenAt = start, c.now
	c.tryStart(key)
}

// refuseForGood returns why the attempt must never start, or RefusalNone.
func (c *core) refuseForGood(start *wire.StartTask) (wire.RefusalReason, string) {
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

// tryStart starts a waiting attempt if it may start now.
func (c *core) tryStart(key capacity.TaskKey) {
	waiting := c.pending[key]
	if reason := c.waitReason(); reason != "" {
		if !waiting.logged {
			waiting.logged = true
			c.report(log.InfoLevel, "starts_delayed_total", "start waits", taskFields(key, field{"reason", reason})...)
		}
		return
	}
	delete(c.pending, key)
	start := waiting.order
	if reason, detail := c.refuseForGood(start); reason != wire.RefusalNone {
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
	c.start(key, start)
}

// waitReason returns why no task may start at present, or an empty string.
func (c *core) waitReason() string {
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

// start makes the start call of an admitted attempt.
func (c *core) start(key capacity.TaskKey, start *wire.StartTask) {
	a := &attempt{
		key:      key,
		kind:     start.TaskKind,
		class:    start.Class,
		size:     start.Size,
		state:    attemptStarting,
		session:  c.session,
		op:       c.nextOp(),
		calledAt: c.now,
		throttle: runningShare,
	}
	c.attempts[key] = a
	c.do(callRuntime{
		op:         a.op,
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
	c.report(log.InfoLevel, "starts_total", "start task", taskFields(key,
		field{"class", start.Class}, field{"shard", strconv.Itoa(int(start.Order.Shard))},
		field{"epoch", strconv.FormatUint(start.Order.Epoch, 10)})...)
}

// startPending tries all waiting starts and drops those that are not ordered any more.
func (c *core) startPending() {
	for _, key := range sortedTasks(c.pending) {
		if c.due(c.pending[key].seenAt, pendingTerm) {
			delete(c.pending, key)
			continue
		}
		c.tryStart(key)
	}
}

// refuse reports that an attempt did not start. The refusal is final: owners act on it, so a tombstone
// keeps a repeated start from running.
func (c *core) refuse(order wire.Order, reason wire.RefusalReason, detail string) {
	key := keyOf(order)
	c.bury(key)
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
	c.emitWithoutAttempt(key, event)
	c.report(log.WarnLevel, `starts_refused_total{reason="`+refusalNames[reason]+`"}`, "refused to start task",
		taskFields(key, field{"reason", refusalNames[reason]}, field{"detail", detail})...)
}

// bury sets a tombstone for the attempt and all lower ones of the task.
func (c *core) bury(key capacity.TaskKey) {
	if key.Attempt <= c.tombstones[key.TaskID] {
		return
	}
	c.tombstones[key.TaskID] = key.Attempt
	if len(c.tombstones) > maxTombstones && c.attached && !c.clearTombstones {
		c.clearTombstones = true
		c.beginAttach("too many tombstones")
	}
}

// onStartResult takes the result of a start call.
func (c *core) onStartResult(a *attempt, err error) {
	switch {
	case err == nil:
		c.onStarted(a)
	case isCertain(err):
		c.forgetStart(a, err.Error())
	default:
		// A late start call can still reach the runtime. A new session refuses it there, and the list
		// of the new session says whether it took effect.
		c.beginAttach("the outcome of a start is unknown")
	}
}

// onStarted records a successful start and carries out an order that came meanwhile.
func (c *core) onStarted(a *attempt) {
	a.state, a.runningSince = attemptRunning, c.now
	c.emit(a, wire.TaskEvent{Type: wire.EventStarted})
	if c.evacuating && a.wanted == 0 {
		a.wanted, a.reason = attemptEvicting, "the worker lease has ended"
	}
	if a.wanted != 0 {
		c.beginEnd(a, a.wanted)
	}
}

// forgetStart refuses an attempt whose start certainly had no effect.
func (c *core) forgetStart(a *attempt, detail string) {
	delete(c.attempts, a.key)
	c.table.ReleaseTask(a.key)
	c.refuse(wire.Order{TaskID: a.key.TaskID, Attempt: a.key.Attempt, Session: a.session}, wire.RefusalRuntime, detail)
}
