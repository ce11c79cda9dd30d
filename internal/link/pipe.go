package link

import (
	"sync"
	"time"

	"clementineflow/internal/wire"
)

// Pipe returns the two sides of an in-memory link with the same idle timeout as a WebSocket link.
// Messages are encoded and decoded, so the two sides share no memory. It is meant for tests.
func Pipe() (Conn, Conn) {
	aToB := make(chan []byte, sendQueueLength)
	bToA := make(chan []byte, sendQueueLength)
	end := &pipeEnd{done: make(chan struct{})}
	a := &pipeConn{send: aToB, receive: bToA, end: end}
	b := &pipeConn{send: bToA, receive: aToB, end: end}
	return a, b
}

// pipeEnd closes both sides of a pipe together. It may be closed more than once.
type pipeEnd struct {
	once sync.Once
	done chan struct{}
}

func (e *pipeEnd) close() { e.once.Do(func() { close(e.done) }) }

// pipeConn is one side of a pipe.
type pipeConn struct {
	send    chan<- []byte
	receive <-chan []byte
	end     *pipeEnd
}

func (c *pipeConn) Send(message wire.Message) error {
	frame, err := wire.Encode(message)
	if err != nil {
		return err
	}
	select {
	case <-c.end.done:
		return ErrClosed
	default:
	}
	select {
	case c.send <- frame:
		return nil
	default:
		return ErrQueueFull
	}
}

func (c *pipeConn) Receive() (wire.Message, error) {
	timer := time.NewTimer(IdleTimeout)
	defer timer.Stop()
	select {
	case frame := <-c.receive:
		return wire.Decode(frame)
	case <-c.end.done:
		return nil, ErrClosed
	case <-timer.C:
		c.Close()
		return nil, ErrIdleTimeout
	}
}

func (c *pipeConn) Close()                { c.end.close() }
func (c *pipeConn) Done() <-chan struct{} { return c.end.done }
func (c *pipeConn) RemoteAddress() string { return "pipe" }
