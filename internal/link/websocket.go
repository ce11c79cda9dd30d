package link

import (
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"clementineflow/internal/ingress"
	"clementineflow/internal/wire"
)

// Path is the HTTP path on which an entry accepts links.
const Path = "/v1/link"

// bufferBytes is the size of a link's read buffer and of its write buffer. Most messages are small
// heartbeats, and an entry needs the memory for every link.
const bufferBytes = 4 << 10

// socketConn is a link over one WebSocket connection.
type socketConn struct {
	socket *websocket.Conn
	queue  chan []byte
	once   sync.Once
	done   chan struct{}
	// writerDone is closed when the writer has ended.
	writerDone chan struct{}
	remote     string
	// received and queued hold the reservations for frames of each direction. They are nil without limits.
	received, queued *ingress.Account
	// first holds the reservation for the first message. It is nil once that has arrived. Only Receive uses it.
	first *ingress.Account
}

// newSocketConn returns a link over an open WebSocket connection and starts its writer.
func newSocketConn(socket *websocket.Conn, limits Limits) *socketConn {
	c := &socketConn{
		socket:     socket,
		queue:      make(chan []byte, sendQueueLength),
		done:       make(chan struct{}),
		writerDone: make(chan struct{}),
		remote:     socket.RemoteAddr().String(),
	}
	socket.SetReadLimit(wire.MaxFrameBytes)
	if limits.Listener != nil {
		c.received, c.first = limits.Listener.NewAccount(), limits.Listener.NewUnidentifiedAccount()
		socket.SetReadLimit(int64(limits.FirstMessageBytes))
	}
	if limits.CountQueued {
		c.queued = c.received
	}
	go c.writeQueued()
	return c
}

// writeQueued writes queued frames until the link ends.
func (c *socketConn) writeQueued() {
	defer close(c.writerDone)
	for {
		select {
		case frame := <-c.queue:
			if !c.writeFrame(frame) {
				return
			}
			c.queued.Release(int64(len(frame)))
		case <-c.done:
			return
		}
	}
}

// writeFrame writes one frame. If that fails it closes the link and returns false.
func (c *socketConn) writeFrame(frame []byte) bool {
	err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = c.socket.WriteMessage(websocket.BinaryMessage, frame)
	}
	if err != nil {
		c.Close()
		return false
	}
	sentFrames.Inc()
	sentBytes.Add(len(frame))
	return true
}

func (c *socketConn) Send(message wire.Message) error {
	frame, err := wire.Encode(message)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	if !c.queued.Reserve(int64(len(frame))) {
		queueFull.Inc()
		return errors.Wrap(ErrQueueFull, "memory budget is exhausted")
	}
	select {
	case c.queue <- frame:
		return nil
	default:
		c.queued.Release(int64(len(frame)))
		queueFull.Inc()
		return ErrQueueFull
	}
}

func (c *socketConn) Receive() (wire.Message, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
		c.Close()
		return nil, ErrClosed
	}
	kind, frame, reserved, err := c.readFrame()
	if err != nil {
		c.Close()
		return nil, receiveError(err)
	}
	defer c.received.Release(reserved)
	receivedFrames.Inc()
	receivedBytes.Add(len(frame))
	if kind != websocket.BinaryMessage {
		c.Close()
		return nil, errors.Wrap(ErrProtocol, "not a binary frame")
	}
	message, err := wire.Decode(frame)
	if err != nil {
		c.Close()
		return nil, errors.Wrap(ErrProtocol, err.Error())
	}
	return message, nil
}

// readFrame reads one frame within the limits. The returned number of bytes stays reserved in received.
func (c *socketConn) readFrame() (kind int, frame []byte, reserved int64, err error) {
	if c.first == nil {
		return c.readReserved(c.received)
	}
	kind, frame, reserved, err = c.readReserved(c.first)
	if err != nil {
		return kind, nil, 0, err
	}
	// The peer has identified itself. Its first message is too short to be counted any longer.
	c.first.Release(reserved)
	c.first = nil
	c.socket.SetReadLimit(wire.MaxFrameBytes)
	return kind, frame, 0, nil
}

// readReserved reads one frame. The returned number of bytes stays reserved in the account.
func (c *socketConn) readReserved(account *ingress.Account) (kind int, frame []byte, reserved int64, err error) {
	kind, reader, err := c.socket.NextReader()
	if err == nil {
		frame, reserved, err = account.Read(reader, wire.MaxFrameBytes)
	}
	if errors.Is(err, websocket.ErrReadLimit) {
		account.RefuseFrame()
	}
	return kind, frame, reserved, err
}

// receiveError converts a read error of the socket to ErrIdleTimeout or ErrClosed.
func receiveError(err error) error {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		idleTimeouts.Inc()
		return ErrIdleTimeout
	}
	return errors.Wrap(ErrClosed, err.Error())
}

func (c *socketConn) Close() {
	c.once.Do(func() {
		close(c.done)
		// The error is ignored: the link has ended in either case.
		_ = c.socket.Close()
	})
}

// closeAndWait closes the link and waits until its writer has ended. The server returns an accepted
// connection to a pool when its handler returns; a later write would use a connection that is closed or
// belongs to another link.
func (c *socketConn) closeAndWait() {
	c.Close()
	<-c.writerDone
	c.received.Close()
}

func (c *socketConn) Done() <-chan struct{} { return c.done }

func (c *socketConn) RemoteAddress() string { return c.remote }
