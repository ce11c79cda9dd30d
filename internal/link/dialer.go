package link

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
)

// SocketDialer is a Dialer that opens WebSocket links.
type SocketDialer struct {
	tlsFor func(host string) *tls.Config
}

// NewDialer returns a dialer. tlsFor returns the TLS configuration for connections to a host, which
// is usually an IP address; if tlsFor is nil, the links are not encrypted.
func NewDialer(tlsFor func(host string) *tls.Config) *SocketDialer {
	return &SocketDialer{tlsFor: tlsFor}
}

// Dial implements Dialer.
func (d *SocketDialer) Dial(ctx context.Context, address string) (Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	scheme := "ws"
	dialer := websocket.Dialer{
		HandshakeTimeout: IdleTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
	}
	if d.tlsFor != nil {
		scheme = "wss"
		dialer.TLSClientConfig = d.tlsFor(host)
	}
	socket, response, err := dialer.DialContext(ctx, scheme+"://"+address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return newSocketConn(socket, Limits{}), nil
}
