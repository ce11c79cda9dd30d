// Package link carries wire messages between two processes over WebSocket connections and closes
// connections on which nothing arrives within an idle timeout.
package link

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Timing of a link.
const (
	// HeartbeatInterval is the time between two heartbeats of the side that opened the link.
	HeartbeatInterval = time.Second
	// IdleTimeout is the time without a received message after which a link is closed.
	IdleTimeout = 3 * time.Second
	// writeTimeout bounds one write, so that a full socket buffer cannot block the writer forever.
	writeTimeout = IdleTimeout
	// sendQueueLength is the maximum number of messages that wait for the writer of one link.
	sendQueueLength = 1024
)

// Errors of the link layer.
var (
	// ErrClosed reports a link that has ended.
	ErrClosed = errors.New("link: closed")
	// ErrQueueFull reports a message that was not sent because the send queue is full: the peer reads too
	// slowly.
	ErrQueueFull = errors.New("link: send queue full")
	// ErrIdleTimeout reports a link on which nothing arrived for IdleTimeout.
	ErrIdleTimeout = errors.New("link: nothing received within the idle timeout")
	// ErrProtocol reports a frame that is not a valid message.
	ErrProtocol = errors.New("link: protocol violation")
	// ErrDial reports a connection that could not be opened.
	ErrDial = errors.New("link: dial failed")
)

// Conn is one message connection. Send and Close are safe for concurrent use; Receive has one caller.
type Conn interface {
	// Send queues a message without blocking. It returns ErrQueueFull, ErrClosed, or an error of
	// the codec; in each of these cases the message is certainly not delivered. A nil result does not
	// mean that the peer received it.
	Send(message wire.Message) error
	// Receive blocks until the next message. It returns ErrClosed, ErrIdleTimeout or ErrProtocol, after
	// which the link is closed.
	Receive() (wire.Message, error)
	// Close closes the link immediately. Queued messages may be lost.
	Close()
	// Done returns a channel that is closed when the link has ended.
	Done() <-chan struct{}
	// RemoteAddress returns the peer's network address, for use in logs.
	RemoteAddress() string
}

// Dialer opens links to an address.
type Dialer interface {
	// Dial opens a link to the given IP address and port. It returns ErrDial if that fails.
	Dial(ctx context.Context, address string) (Conn, error)
}
