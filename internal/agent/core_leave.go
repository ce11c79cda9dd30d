package agent

import (
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/wire"
)

const (
	// leavingReason is what Leaving tells the entries.
	leavingReason = "planned stop"
	// drainFlushTime bounds the wait for the entries to acknowledge that they have all replies.
	drainFlushTime = 3 * time.Second
	// stopLinger is how long a drained agent still refuses requests, in case an entry was sending one
	// while it acknowledged the stop. Without an answer such a request would be unknown to its caller.
	stopLinger = 200 * time.Millisecond
)

// onStopRequested begins the planned stop: nothing new is accepted and requests in progress are
// finished. Tasks keep running under their leases, and the next agent adopts them.
func (c *core) onStopRequested() {
	if c.leaving {
		return
	}
	c.leaving = true
	c.report(log.InfoLevel, "", "planned stop begins")
	for _, key := range sortedTasks(c.pending) {
		c.refuse(c.pending[key].order.Order, wire.RefusalLeaving, "the agent is stopping")
	}
	clear(c.pending)
	c.broadcast(&wire.Leaving{Reason: leavingReason})
	c.heartbeatNow()
	c.renew()
}

// finishDrain ends the agent when nothing is in progress and the entries have received every reply. A
// heartbeat that was sent after the last reply and is acknowledged proves the latter, because a link
// keeps the order of messages.
func (c *core) finishDrain() {
	if !c.leaving || c.exited || c.busy() {
		c.drainMarks, c.lingerUntil = nil, time.Time{}
		return
	}
	if c.drainMarks == nil {
		c.drainedAt = c.now
		c.heartbeatNow()
		c.drainMarks = map[linkID]uint64{}
		for id, l := range c.links {
			if l.up {
				c.drainMarks[id] = l.sequence
			}
		}
	}
	if !c.flushed() && !c.due(c.drainedAt, drainFlushTime) {
		return
	}
	if c.lingerUntil.IsZero() {
		c.lingerUntil = c.now.Add(stopLinger)
	}
	if c.now.Before(c.lingerUntil) {
		return
	}
	c.exited = true
	c.report(log.InfoLevel, "", "planned stop is complete")
	c.do(exit{})
}

// busy reports whether a request or a start, evict or stop call is in progress.
func (c *core) busy() bool {
	if len(c.requests) > 0 {
		return true
	}
	for _, a := range c.attempts {
		if a.op != 0 && a.state != attemptRunning && a.state != attemptEnded {
			return true
		}
	}
	return false
}

// flushed reports whether every link that is still up has acknowledged the final heartbeat.
func (c *core) flushed() bool {
	for id, mark := range c.drainMarks {
		if l, ok := c.links[id]; ok && l.acked < mark {
			return false
		}
	}
	return true
}
