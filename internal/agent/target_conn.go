package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// targetDialTimeout bounds the dialling of a connection on the loopback interface.
const targetDialTimeout = time.Second

// dialError reports a connection that could not be opened.
type dialError struct{ cause error }

// Error returns the text of the cause.
func (e *dialError) Error() string { return e.cause.Error() }

// notSentError reports a request of which certainly no byte was sent.
type notSentError struct{ cause string }

// Error returns the cause.
func (e *notSentError) Error() string { return e.cause }

// isNotSent reports whether a failed request certainly did not reach the target.
func isNotSent(err error) bool {
	var dialFailed *dialError
	var notSent *notSentError
	return errors.As(err, &dialFailed) || errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// targetConn is a connection to a target that checks before the first byte of a request is written
// whether the target has closed it. Otherwise a request on a closed pooled connection would have an
// unknown outcome although it was never sent.
type targetConn struct {
	*net.TCPConn
	// inRequest is set if a byte of the current request may have been sent.
	inRequest bool
}

// dialTarget opens a connection to a target within the timeout, at most targetDialTimeout. It fails with
// a dialError.
func dialTarget(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > targetDialTimeout {
		timeout = targetDialTimeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return &targetConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// Write sends a part of a request. It fails with a notSentError if the connection is stale or no byte of
// the request was written.
func (c *targetConn) Write(data []byte) (int, error) {
	if c.inRequest {
		return c.TCPConn.Write(data)
	}
	if c.isStale() {
		return 0, &notSentError{cause: "the target has closed the connection"}
	}
	n, err := c.TCPConn.Write(data)
	if err != nil && n == 0 {
		return 0, &notSentError{cause: err.Error()}
	}
	c.inRequest = true
	return n, err
}

// Read receives a part of a response. The next write begins a new request.
func (c *targetConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.inRequest = false
	}
	return n, err
}

// isStale reports whether the peer has closed the connection or sent unexpected data.
func (c *targetConn) isStale() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		stale = !errors.Is(receiveErr, syscall.EAGAIN)
	})
	return stale || err != nil
}
