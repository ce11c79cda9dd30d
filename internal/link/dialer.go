package link

import (
	"context"
	"crypto/tls"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
)

// SocketDialer opens WebSocket links.
type SocketDialer struct {
	dialer websocket.Dialer
	scheme string
}

// NewDialer returns a dialer that uses TLS if config is not nil.
func NewDialer(config *tls.Config) *SocketDialer {
	scheme := "ws"
	if config != nil {
		scheme = "wss"
	}
	return &SocketDialer{
		scheme: scheme,
		dialer: websocket.Dialer{
			TLSClientConfig:  config,
			HandshakeTimeout: SilenceBound,
			ReadBufferSize:   bufferBytes,
			WriteBufferSize:  bufferBytes,
		},
	}
}

// Dial implements Dialer.
func (d *SocketDialer) Dial(ctx context.Context, address string) (Conn, error) {
	socket, response, err := d.dialer.DialContext(ctx, d.scheme+"://"+address+Path, nil)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	return newSocketConn(socket), nil
}
