package link

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/wire"
)

// TestSocketRoundTrip guards against messages that are lost, reordered or changed on a WebSocket link.
func TestSocketRoundTrip(t *testing.T) {
	is := is.New(t)
	server := NewServer(func(conn Conn) {
		for {
			message, err := conn.Receive()
			if err != nil {
				return
			}
			if conn.Send(message) != nil {
				return
			}
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener, nil) }()
	defer func() { _ = server.Shutdown() }()

	conn, err := NewDialer(nil).Dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	for sequence := range uint64(100) {
		is.NoErr(conn.Send(&wire.Heartbeat{Sequence: sequence}))
	}
	for sequence := range uint64(100) {
		message, err := conn.Receive()
		is.NoErr(err)
		is.Equal(message.(*wire.Heartbeat).Sequence, sequence)
	}
}

// TestServerWaitsForWriter guards against a writer that uses the connection of an accepted link after
// the handler has returned and the connection is back in the server's pool. That crashed the entry and
// could write to another link.
func TestServerWaitsForWriter(t *testing.T) {
	is := is.New(t)
	server := NewServer(func(conn Conn) {
		for sequence := range uint64(100) {
			_ = conn.Send(&wire.Heartbeat{Sequence: sequence})
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener, nil) }()
	defer func() { _ = server.Shutdown() }()
	for range 50 {
		conn, err := NewDialer(nil).Dial(context.Background(), listener.Addr().String())
		is.NoErr(err)
		for err == nil {
			_, err = conn.Receive()
		}
		conn.Close()
	}
}
