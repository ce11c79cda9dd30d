package ingress

import (
	"crypto/tls"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// drainTimeout bounds the time to answer a connection that there is no memory to read from, and maxDiscardedBlocks
	// what is read from it before it is closed: 16 KiB, the longest headers.
	drainTimeout       = 20 * time.Millisecond
	maxDiscardedBlocks = 16
)

// errNoDescriptor reports a connection without a file descriptor.
var errNoDescriptor = errors.New("ingress: connection has no file descriptor")

// conn is an accepted connection with its reservations.
type conn struct {
	net.Conn
	listener *Listener
	// account is nil if connections are not counted in the budget.
	account *Account
	closed  atomic.Bool
	// active is set while a request is read and answered, and refused if there was no memory for it. Only the
	// goroutine of the connection uses them.
	active, refused bool
	waiting         waiting
}

// connOf returns the accepted connection under a connection of the server, or nil.
func connOf(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	accepted, _ := c.(*conn)
	return accepted
}

// activate reserves the memory to read and answer a request, for which it may wait.
func (c *conn) activate(outer net.Conn) bool {
	// The connection itself must not make place for its own request.
	if !c.listener.waiting.remove(c) {
		return false
	}
	c.listener.rates.awaitRequest()
	c.active = c.active || c.awaitMemory(activeConnBytes)
	if c.active && c.account != nil {
		c.listener.waiting.add(c, outer)
	}
	return c.active
}

// admitRequest records that the request has been read, and reports whether it may run: not on a connection that was evicted
// or refused.
func (c *conn) admitRequest() bool { return c.listener.waiting.remove(c) && !c.refused }

// deactivate releases the reservation of activate.
func (c *conn) deactivate() {
	if c.active {
		c.active = false
		c.account.Release(activeConnBytes)
	}
}

// awaitNext records that the connection waits for its next request, so that it can be closed in favor of another one.
func (c *conn) awaitNext() {
	if c.account != nil && !c.closed.Load() {
		c.listener.waiting.add(c, nil)
	}
}

// Close implements net.Conn. It releases the reservations.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.waiting.remove(c)
		c.account.Close()
		c.listener.open.Add(-1)
		c.listener.meter.open.Dec()
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errNoDescriptor
}

// refuse answers with 503 and closes the connection before a request is read from it.
func (c *conn) refuse(outer net.Conn) {
	c.refused = true
	if c.listener.answerUnavailable(outer) {
		c.discardReceived()
	}
	_ = c.Close()
}

// discardReceived reads headers that have arrived without keeping them. The kernel resets a connection that is closed
// with unread data, and the caller may then lose the response.
func (c *conn) discardReceived() {
	var block [1 << 10]byte
	for range maxDiscardedBlocks {
		if n, err := c.Read(block[:]); err != nil || n < len(block) {
			return
		}
	}
}

// answerUnavailable answers with 503 on a connection from which no request has run. It returns false if that failed.
func (l *Listener) answerUnavailable(outer net.Conn) bool {
	if outer.SetDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	// The response is shorter than an empty send buffer, so the write doesn't block.
	_, _ = outer.Write(l.unavailable)
	return true
}

// unavailableResponse returns the response on a connection that there is no memory to read a request from.
func unavailableResponse(explain func(*fasthttp.Response)) []byte {
	if explain == nil {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	response := fasthttp.Response{}
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
	response.SetConnectionClose()
	explain(&response)
	return []byte(response.String())
}
