package ingress

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// evictionAge is how long a request must have been incomplete before its connection is closed in favor of another
// one. A body of 256 KiB takes 210 ms at 10 Mbit/s.
const evictionAge = 500 * time.Millisecond

// waitingConns holds the connections of a listener that have not sent a complete request yet, or not the next one, oldest
// first. Without it, a flood of connections that send headers without an end, or nothing, keeps other callers out until its
// deadlines.
type waitingConns struct {
	mu    sync.Mutex
	order list.List
}

// waiting is the state of a connection in waitingConns, which guards it.
type waiting struct {
	element *list.Element
	since   time.Time
	// outer is the connection of the server, once a first byte has arrived.
	outer   net.Conn
	evicted bool
}

// add records that the connection waits for a request, or again at its first byte.
func (w *waitingConns) add(c *conn, outer net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.waiting.evicted {
		return
	}
	if c.waiting.element != nil {
		w.order.Remove(c.waiting.element)
	}
	c.waiting = waiting{element: w.order.PushBack(c), since: time.Now(), outer: outer}
}

// remove records that the connection has sent a complete request or is closed. It returns false if the connection was
// evicted; its request must not run.
func (w *waitingConns) remove(c *conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.waiting.element != nil {
		w.order.Remove(c.waiting.element)
		c.waiting.element = nil
	}
	return !c.waiting.evicted
}

// takeOldest evicts the connection whose request is incomplete for the longest time, or returns nil if there is none
// that is older than evictionAge.
func (w *waitingConns) takeOldest() *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	front := w.order.Front()
	if front == nil {
		return nil
	}
	c, ok := front.Value.(*conn)
	if !ok || time.Since(c.waiting.since) < evictionAge {
		return nil
	}
	w.order.Remove(front)
	c.waiting.element, c.waiting.evicted = nil, true
	return c
}

// evictOldest closes the connection whose request is incomplete for the longest time. It answers with 503 if the request has
// begun, since it has not run. It returns false if there is no such connection.
func (l *Listener) evictOldest() bool {
	c := l.waiting.takeOldest()
	if c == nil {
		return false
	}
	l.meter.refuse(reasonEvicted)
	if c.waiting.outer != nil {
		l.answerUnavailable(c.waiting.outer)
	}
	// The error is ignored: the connection has ended in either case.
	_ = c.Close()
	return true
}
