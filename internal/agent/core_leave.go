package agent

import (
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// leavingReason is the reason in the Leaving message to the entries.
	leavingReason = "planned stop"
	// drainFlushTimeout bounds the wait for the entries to acknowledge the final heartbeats.
	drainFlushTimeout = 3 * time.Second
	// stopLingerDuration is how long a drained agent keeps refusing requests before it exits. An entry may
	// have sent a request while it acknowledged the drain; without a refusal its outcome would be unknown.
	stopLingerDuration = 200 * time.Millisecond
	// pausedShare is the processor share of a batch task between the exit of its agent and the next one.
	pausedShare = 0
)

// onStopRequested starts the planned stop: new work is refused and requests in progress are finished.
// Tasks keep running under their leases, and the next agent process adopts them. Batch tasks are paused just before the
// exit; see pauseBatchTasks.
func (c *core) onStopRequested() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.logDecision(log.InfoLevel, "", "planned stop started")
	for _, key := range sortedTasks(c.pending) {
		c.refuse(c.pending[key].order.Order, wire.RefusalLeaving, "the agent is stopping")
	}
	clear(c.pending)
	c.broadcast(&wire.Leaving{Reason: leavingReason})
	c.sendHeartbeats()
	c.renewTaskLeases()
}

// finishDrain ends the agent when no work is in progress and the entries have received every reply. The
// latter is confirmed by the acknowledgement of a heartbeat sent after the last reply, because a link
// preserves the order of messages. New work resets the drain.
func (c *core) finishDrain() {
	if !c.leaving || c.exited || c.hasWorkInProgress() {
		c.finalHeartbeats, c.lingerUntil, c.finalListAt = nil, time.Time{}, time.Time{}
		return
	}
	if c.finalHeartbeats == nil {
		c.drainedAt = c.now
		c.sendHeartbeats()
		c.finalHeartbeats = map[linkID]uint64{}
		for id, l := range c.links {
			if l.up {
				c.finalHeartbeats[id] = l.heartbeatSequence
			}
		}
	}
	if !c.drainAcknowledged() && !c.due(c.drainedAt, drainFlushTimeout) {
		return
	}
	if c.lingerUntil.IsZero() {
		c.lingerUntil = c.now.Add(stopLingerDuration)
	}
	if c.now.Before(c.lingerUntil) || !c.reportLastEnds() {
		return
	}
	c.exited = true
	c.logDecision(log.InfoLevel, "", "planned stop completed")
	c.addAction(exit{})
}

// reportLastEnds pauses the batch tasks and lists the runtime's attempts once more, so that the entries learn the ends of all
// tasks: if the VM is replaced after the stop, a task whose end was not reported runs again. It returns true once they know
// them, or after drainFlushTimeout.
func (c *core) reportLastEnds() bool {
	if !c.attached || c.attaching || c.due(c.lingerUntil, drainFlushTimeout) {
		return true
	}
	if !c.pauseBatchTasks() || c.listInFlight {
		return false
	}
	if c.finalListAt.IsZero() {
		c.finalListAt = c.now
		c.listTasks()
		return false
	}
	for _, a := range c.attempts {
		if a.state == attemptEnded && a.unackedEvent != nil {
			return false
		}
	}
	return true
}

// pauseBatchTasks pauses each running batch task once, and returns true once the runtime has answered all of these calls. A
// paused task can't end until the next agent adopts it and restores its share, so the list that follows misses no end. A pause
// that failed is not repeated: the task may have ended, which the list shows.
func (c *core) pauseBatchTasks() bool {
	paused := true
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.kind != task.KindBatch || a.state != attemptRunning || a.pauseSent && a.callID == 0 {
			continue
		}
		paused = false
		if a.callID == 0 {
			a.throttle, a.pauseSent = pausedShare, true
			c.finalListAt = time.Time{}
			c.callAttempt(a, callThrottle)
			c.logDecision(log.InfoLevel, "", "paused a batch task for the next agent", taskFields(key)...)
		}
	}
	return paused
}

// hasWorkInProgress reports whether a request or a start, evict or stop call has not finished. Evict and stop calls are
// repeated until the runtime answers, so those that it has not answered for callTimeout don't count: the task ends with its
// lease, or the next agent ends it.
func (c *core) hasWorkInProgress() bool {
	if len(c.requests) > 0 {
		return true
	}
	for _, a := range c.attempts {
		if a.callID == 0 || a.state == attemptRunning || a.state == attemptEnded {
			continue
		}
		if a.endingAt.IsZero() || !c.due(a.endingAt, callTimeout) {
			return true
		}
	}
	return false
}

// drainAcknowledged reports whether every link that is still open has acknowledged its final heartbeat.
func (c *core) drainAcknowledged() bool {
	for id, sequence := range c.finalHeartbeats {
		if l, ok := c.links[id]; ok && l.ackedSequence < sequence {
			return false
		}
	}
	return true
}
