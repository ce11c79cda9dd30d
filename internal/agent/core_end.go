package agent

import (
	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/wire"
)

// maxResultBytes bounds the task result in an event; a longer result is truncated.
const maxResultBytes = 4 << 10

// onEndOrder executes an EvictTask or StopTask order. Afterwards the attempt can never start again,
// whatever its state was.
func (c *core) onEndOrder(order wire.Order, endState attemptState) {
	key := taskKeyOf(order)
	if order.Epoch < c.epochs[order.Shard] {
		c.logDecision(log.WarnLevel, "orders_refused_total", "ignored an order of a former shard owner", taskFields(key)...)
		return
	}
	c.epochs[order.Shard] = order.Epoch
	if order.Session.BootID != c.session.BootID {
		// The attempt belongs to another boot of the worker, so its state is unknown here.
		c.logDecision(log.WarnLevel, "orders_refused_total", "ignored an order for another boot", taskFields(key)...)
		return
	}
	delete(c.pending, key)
	c.setTombstone(key)
	a, ok := c.attempts[key]
	if !ok {
		c.sendDetachedEvent(key, wire.TaskEvent{
			TaskID: key.TaskID, Attempt: key.Attempt, Type: wire.EventStopped,
			Detail: "the attempt is not held and never starts", Session: order.Session,
		})
		return
	}
	if a.state == attemptEnded {
		c.resendStatus(a)
		return
	}
	if a.reason == "" {
		a.reason = "ordered by the shard owner"
	}
	c.endAttempt(a, endState)
}

// endAttempt evicts or stops an attempt that has not ended. During a start call the end is deferred, and
// an eviction without a call in flight is escalated to a stop if that is requested.
func (c *core) endAttempt(a *attempt, endState attemptState) {
	switch a.state {
	case attemptStarting:
		a.requestedEnd = max(a.requestedEnd, endState)
	case attemptRunning:
		c.callEndAttempt(a, endState)
	case attemptEvicting:
		if endState == attemptStopping && a.callID == 0 {
			c.callEndAttempt(a, endState)
		}
	}
}

// callEndAttempt issues the evict or stop call of an attempt.
func (c *core) callEndAttempt(a *attempt, endState attemptState) {
	c.setTombstone(a.key)
	if a.state == attemptRunning {
		c.logDecision(log.InfoLevel, "evictions_total", "ending task", taskFields(a.key,
			field{"checkpoint", formatYesNo(endState == attemptEvicting)}, field{"reason", a.reason})...)
	}
	if a.endingAt.IsZero() {
		a.endingAt = c.now
	}
	a.state = endState
	kind := callEvict
	if endState == attemptStopping {
		kind = callStop
	}
	c.callAttempt(a, kind)
}

// callAttempt issues a runtime call about an attempt. The result of an earlier call is then ignored.
func (c *core) callAttempt(a *attempt, kind callKind) {
	a.callID, a.calledAt = c.nextCallID(), c.now
	c.addAction(callRuntime{callID: a.callID, kind: kind, session: c.session, key: a.key, permille: a.throttle})
}

// retryCalls issues failed evict, stop and forget calls again after retryInterval.
func (c *core) retryCalls() {
	if !c.attached || c.attaching {
		return
	}
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.callID != 0 || !c.due(a.calledAt, retryInterval) {
			continue
		}
		switch {
		case a.state == attemptEvicting:
			c.callAttempt(a, callEvict)
		case a.state == attemptStopping:
			c.callAttempt(a, callStop)
		case a.state == attemptEnded && a.unackedEvent == nil:
			c.callAttempt(a, callForget)
		}
	}
}

// recordEnd marks an attempt as ended, releases its capacity and sends the event.
func (c *core) recordEnd(a *attempt, event wire.TaskEvent) {
	a.state, a.callID = attemptEnded, 0
	c.table.ReleaseTask(a.key)
	c.setTombstone(a.key)
	if len(event.Result) > maxResultBytes {
		event.Result = event.Result[:maxResultBytes]
		event.Detail = "the result is truncated"
	}
	event.ProgressPermille = a.progress
	c.sendEvent(a, event)
	c.logDecision(log.InfoLevel, `tasks_ended_total{event="`+eventNames[event.Type]+`"}`, "task ended",
		taskFields(a.key, field{"event", eventNames[event.Type]}, field{"detail", event.Detail})...)
	c.tryPendingStarts()
}

// sendEvent sends an event about a tracked attempt and stores it to be sent again until acknowledged.
func (c *core) sendEvent(a *attempt, event wire.TaskEvent) {
	event.TaskID, event.Attempt, event.Session = a.key.TaskID, a.key.Attempt, c.session
	a.unackedEvent = &unackedEvent{event: event, sentAt: c.now}
	c.broadcast(&event)
}

// sendDetachedEvent sends an event about an attempt that is not tracked. If there are too many
// unacknowledged ones, the event is sent only once.
func (c *core) sendDetachedEvent(key capacity.TaskKey, event wire.TaskEvent) {
	if _, known := c.detachedEvents[key]; known || len(c.detachedEvents) < maxDetachedEvents {
		c.detachedEvents[key] = &unackedEvent{event: event, sentAt: c.now}
	}
	c.broadcast(&event)
}

// resendStatus sends the last event of a tracked attempt again in response to a repeated order.
func (c *core) resendStatus(a *attempt) {
	if a.unackedEvent != nil {
		c.broadcast(&a.unackedEvent.event)
		return
	}
	if a.state != attemptStarting && a.state != attemptEnded {
		c.sendEvent(a, wire.TaskEvent{Type: wire.EventStarted})
	}
}

// resendEvents sends unacknowledged events again after repeatInterval.
func (c *core) resendEvents() {
	for _, out := range c.unackedEvents() {
		if c.due(out.sentAt, repeatInterval) {
			out.sentAt = c.now
			c.broadcast(&out.event)
		}
	}
}

// sendUnackedEvents sends all unacknowledged events on a new link.
func (c *core) sendUnackedEvents(id linkID) {
	for _, out := range c.unackedEvents() {
		c.addAction(sendMessage{link: id, message: &out.event})
	}
}

// unackedEvents returns the unacknowledged events sorted by attempt, those of tracked attempts first.
func (c *core) unackedEvents() []*unackedEvent {
	var events []*unackedEvent
	for _, key := range sortedTasks(c.attempts) {
		if out := c.attempts[key].unackedEvent; out != nil {
			events = append(events, out)
		}
	}
	for _, key := range sortedTasks(c.detachedEvents) {
		events = append(events, c.detachedEvents[key])
	}
	return events
}

// onAckTaskEvent drops an acknowledged event. If the attempt has ended, the runtime is told to forget it.
func (c *core) onAckTaskEvent(ack *wire.AckTaskEvent) {
	key := capacity.TaskKey{TaskID: ack.TaskID, Attempt: ack.Attempt}
	if out, ok := c.detachedEvents[key]; ok && out.event.Type == ack.Type {
		delete(c.detachedEvents, key)
	}
	a, ok := c.attempts[key]
	if !ok || a.unackedEvent == nil || a.unackedEvent.event.Type != ack.Type {
		return
	}
	a.unackedEvent = nil
	if a.state == attemptEnded && c.attached && !c.attaching {
		c.callAttempt(a, callForget)
	}
}

// formatYesNo formats a boolean as "yes" or "no" for the log.
func formatYesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
