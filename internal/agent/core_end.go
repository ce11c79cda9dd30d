package agent

import (
	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/wire"
)

// maxResultBytes is the largest result of a task that an event carries.
const maxResultBytes = 4 << 10

// onEndOrder carries out an EvictTask or StopTask. Whatever the state of the attempt, it never runs
// again afterwards.
func (c *core) onEndOrder(order wire.Order, wanted attemptState) {
	key := keyOf(order)
	if order.Epoch < c.epochs[order.Shard] {
		c.report(log.WarnLevel, "orders_refused_total", "ignored an order of a former shard owner", taskFields(key)...)
		return
	}
	c.epochs[order.Shard] = order.Epoch
	if order.Session.BootID != c.session.BootID {
		// Another boot of the worker may still run the attempt, so nothing can be said about it.
		c.report(log.WarnLevel, "orders_refused_total", "ignored an order for another boot", taskFields(key)...)
		return
	}
	delete(c.pending, key)
	c.bury(key)
	a, ok := c.attempts[key]
	if !ok {
		c.emitWithoutAttempt(key, wire.TaskEvent{
			TaskID: key.TaskID, Attempt: key.Attempt, Type: wire.EventStopped,
			Detail: "the attempt is not held and never starts", Session: order.Session,
		})
		return
	}
	if a.state == attemptEnded {
		c.repeatStatus(a)
		return
	}
	if a.reason == "" {
		a.reason = "ordered by the shard owner"
	}
	c.end(a, wanted)
}

// end evicts or stops an attempt that is not ended.
func (c *core) end(a *attempt, wanted attemptState) {
	switch a.state {
	case attemptStarting:
		a.wanted = max(a.wanted, wanted)
	case attemptRunning:
		c.beginEnd(a, wanted)
	case attemptEvicting:
		if wanted == attemptStopping && a.op == 0 {
			c.beginEnd(a, wanted)
		}
	}
}

// beginEnd makes the evict or stop call of a running attempt.
func (c *core) beginEnd(a *attempt, wanted attemptState) {
	c.bury(a.key)
	if a.state == attemptRunning {
		c.report(log.InfoLevel, "evictions_total", "end task", taskFields(a.key,
			field{"checkpoint", yesNo(wanted == attemptEvicting)}, field{"reason", a.reason})...)
	}
	a.state = wanted
	kind := callEvict
	if wanted == attemptStopping {
		kind = callStop
	}
	c.call(a, kind)
}

// call makes a runtime call about an attempt.
func (c *core) call(a *attempt, kind callKind) {
	a.op, a.calledAt = c.nextOp(), c.now
	c.do(callRuntime{op: a.op, kind: kind, session: c.session, key: a.key, permille: a.throttle})
}

// retryCalls repeats the calls that failed.
func (c *core) retryCalls() {
	if !c.attached || c.attaching {
		return
	}
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.op != 0 || !c.due(a.calledAt, retryInterval) {
			continue
		}
		switch {
		case a.state == attemptEvicting:
			c.call(a, callEvict)
		case a.state == attemptStopping:
			c.call(a, callStop)
		case a.state == attemptEnded && a.outgoing == nil:
			c.call(a, callForget)
		}
	}
}

// ended records that an attempt does not run any more.
func (c *core) ended(a *attempt, event wire.TaskEvent) {
	a.state, a.op = attemptEnded, 0
	c.table.ReleaseTask(a.key)
	c.bury(a.key)
	if len(event.Result) > maxResultBytes {
		event.Result = event.Result[:maxResultBytes]
		event.Detail = "the result is truncated"
	}
	event.ProgressPermille = a.progress
	c.emit(a, event)
	c.report(log.InfoLevel, `tasks_ended_total{event="`+eventNames[event.Type]+`"}`, "task ended",
		taskFields(a.key, field{"event", eventNames[event.Type]}, field{"detail", event.Detail})...)
	c.startPending()
}

// emit sends an event about a held attempt and repeats it until it is acknowledged.
func (c *core) emit(a *attempt, event wire.TaskEvent) {
	event.TaskID, event.Attempt, event.Session = a.key.TaskID, a.key.Attempt, c.session
	a.outgoing = &outgoing{event: event, sentAt: c.now}
	c.broadcast(&event)
}

// emitWithoutAttempt sends an event about an attempt that is not held.
func (c *core) emitWithoutAttempt(key capacity.TaskKey, event wire.TaskEvent) {
	if _, known := c.refusals[key]; known || len(c.refusals) < maxRefusals {
		c.refusals[key] = &outgoing{event: event, sentAt: c.now}
	}
	c.broadcast(&event)
}

// repeatStatus sends the last event of a held attempt again, as an answer to a repeated order.
func (c *core) repeatStatus(a *attempt) {
	if a.outgoing != nil {
		c.broadcast(&a.outgoing.event)
		return
	}
	if a.state != attemptStarting && a.state != attemptEnded {
		c.emit(a, wire.TaskEvent{Type: wire.EventStarted})
	}
}

// repeatEvents sends the events again that are not acknowledged.
func (c *core) repeatEvents() {
	for _, out := range c.outbox() {
		if c.due(out.sentAt, repeatInterval) {
			out.sentAt = c.now
			c.broadcast(&out.event)
		}
	}
}

// sendAllEvents sends all unacknowledged events on a new link.
func (c *core) sendAllEvents(id linkID) {
	for _, out := range c.outbox() {
		c.do(sendMessage{link: id, message: &out.event})
	}
}

// outbox returns the unacknowledged events in the order of their attempts.
func (c *core) outbox() []*outgoing {
	var events []*outgoing
	for _, key := range sortedTasks(c.attempts) {
		if out := c.attempts[key].outgoing; out != nil {
			events = append(events, out)
		}
	}
	for _, key := range sortedTasks(c.refusals) {
		events = append(events, c.refusals[key])
	}
	return events
}

// onAckTaskEvent drops an acknowledged event and, if it was the last one, the attempt.
func (c *core) onAckTaskEvent(ack *wire.AckTaskEvent) {
	key := capacity.TaskKey{TaskID: ack.TaskID, Attempt: ack.Attempt}
	if out, ok := c.refusals[key]; ok && out.event.Type == ack.Type {
		delete(c.refusals, key)
	}
	a, ok := c.attempts[key]
	if !ok || a.outgoing == nil || a.outgoing.event.Type != ack.Type {
		return
	}
	a.outgoing = nil
	if a.state == attemptEnded && c.attached && !c.attaching {
		c.call(a, callForget)
	}
}

// yesNo returns a boolean for the log.
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
