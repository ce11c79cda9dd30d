package agent

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// targetDialTimeout bounds the opening of a connection on the loopback interface.
const targetDialTimeout = time.Second

// dialError reports a connection that could not be opened.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// notSentError reports a request of which certainly no byte was sent.
type notSentError struct{ cause string }

// Error implements error.
func (e *notSentError) Error() string { return e.cause }

// isNotSent reports whether a failed request certainly did not reach the target.
func isNotSent(err error) bool {
	var dialFailed *dialError
	var notSent *notSentError
	return errors.As(err, &dialFailed) || errors.As(err, &notSent) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// targetConn is a connection to a target that notices, before the first byte of a request is written,
// that the target has closed it. Without this a request on a pooled connection that the target closes
// would have an unknown outcome although it was never sent.
type targetConn struct {
	*net.TCPConn
	// inRequest says that a byte of the current request may have been sent.
	inRequest bool
}

// dialTarget opens a connection to a target.
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

// Write sends a part of a request.
func (c *targetConn) Write(data []byte) (int, error) {
	if c.inRequest {
		return c.TCPConn.Write(data)
	}
	if c.endedByPeer() {
		return 0, &notSentError{cause: "the target has closed the connection"}
	}
	n, err := c.TCPConn.Write(data)
	if err != nil && n == 0 {
		return 0, &notSentError{cause: err.Error()}
	}
	c.inRequest = true
	return n, err
}

// Read receives a part of an answer. The next write begins another request.
func (c *targetConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.inRequest = false
	}
	return n, err
}

// endedByPeer reports whether the peer has closed the connection or sent data that was not asked for.
func (c *targetConn) endedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = !errors.Is(receiveErr, syscall.EAGAIN)
	})
	return ended || err != nil
}
