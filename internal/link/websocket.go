package link

import (
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Path is the HTTP path on which an entry accepts links.
const Path = "/v1/link"

// bufferBytes is the size of a link's read and write buffers. Heartbeats are small; a larger buffer
// would cost an entry memory on every link.
const bufferBytes = 4 << 10

// socketConn is a link over one WebSocket connection.
type socketConn struct {
	socket *websocket.Conn
	queue  chan []byte
	once   sync.Once
	done   chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
	remote  string
}

// newSocketConn starts the writer of an open WebSocket connection.
func newSocketConn(socket *websocket.Conn) *socketConn {
	c := &socketConn{
		socket:  socket,
		queue:   make(chan []byte, sendQueueLength),
		done:    make(chan struct{}),
		written: make(chan struct{}),
		remote:  socket.RemoteAddr().String(),
	}
	socket.SetReadLimit(wire.MaxFrameBytes)
	go c.write()
	return c
}

// write sends queued frames until the link ends.
func (c *socketConn) write() {
	defer close(c.written)
	for {
		select {
		case frame := <-c.queue:
			if !c.writeFrame(frame) {
				return
			}
		case <-c.done:
			return
		}
	}
}

// writeFrame sends one frame and reports whether the link is still open.
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
	select {
	case c.queue <- frame:
		return nil
	default:
		queueFull.Inc()
		return ErrQueueFull
	}
}

func (c *socketConn) Receive() (wire.Message, error) {
	if err := c.socket.SetReadDeadline(time.Now().Add(SilenceBound)); err != nil {
		c.Close()
		return nil, ErrClosed
	}
	kind, frame, err := c.socket.ReadMessage()
	if err != nil {
		c.Close()
		return nil, receiveError(err)
	}
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

// receiveError turns an error of the socket into one of this layer.
func receiveError(err error) error {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		silentLinks.Inc()
		return ErrSilent
	}
	return errors.Wrap(ErrClosed, err.Error())
}

func (c *socketConn) Close() {
	c.once.Do(func() {
		close(c.done)
		// The close error is of no use: the link has ended either way.
		_ = c.socket.Close()
	})
}

// release closes the link and waits until its writer has ended. An accepted connection goes back to a
// pool when the server's handler returns; a write after that would use a connection that is gone, or
// another link's.
func (c *socketConn) release() {
	c.Close()
	<-c.written
}

func (c *socketConn) Done() <-chan struct{} { return c.done }

func (c *socketConn) RemoteAddress() string { return c.remote }
