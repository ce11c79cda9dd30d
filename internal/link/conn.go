// Package link carries wire messages between two processes over WebSocket connections and detects
// connections that have gone silent.
package link

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/wire"
)

// Timing of a link.
const (
	// HeartbeatInterval is the time between two heartbeats of the dialling side.
	HeartbeatInterval = time.Second
	// SilenceBound is how long a link may be silent before it is closed.
	SilenceBound = 3 * time.Second
	// writeTimeout bounds one write, so that a full socket cannot block the writer for good.
	writeTimeout = SilenceBound
	// sendQueueLength bounds the messages that wait for the writer of one link.
	sendQueueLength = 1024
)

// Errors of the link layer.
var (
	// ErrClosed reports a link that has ended.
	ErrClosed = errors.New("link: closed")
	// ErrQueueFull reports a message that was not sent because the peer does not keep up.
	ErrQueueFull = errors.New("link: send queue full")
	// ErrSilent reports a link on which nothing arrived for SilenceBound.
	ErrSilent = errors.New("link: peer is silent")
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
	// Receive blocks for the next message. It returns ErrClosed, ErrSilent or ErrProtocol, after
	// which the link is closed.
	Receive() (wire.Message, error)
	// Close ends the link at once. Queued messages may be lost.
	Close()
	// Done is closed when the link has ended.
	Done() <-chan struct{}
	// RemoteAddress returns the peer's network address, for logs.
	RemoteAddress() string
}

// Dialer opens links to an address.
type Dialer interface {
	// Dial opens a link to the IP address and port, or returns ErrDial.
	Dial(ctx context.Context, address string) (Conn, error)
}
