package link

import (
	"crypto/tls"
	"net"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server accepts WebSocket links at Path.
type Server struct {
	handle   func(Conn)
	upgrader websocket.FastHTTPUpgrader
	http     *fasthttp.Server
}

// NewServer returns a server that calls handle in a separate goroutine for each new link. The link is
// closed when handle returns.
func NewServer(handle func(Conn)) *Server {
	s := &Server{handle: handle}
	s.upgrader = websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	s.http = &fasthttp.Server{Handler: s.upgrade, NoDefaultServerHeader: true}
	return s
}

// Serve accepts links on the listener until Shutdown is called. If config is not nil, it requires TLS.
func (s *Server) Serve(listener net.Listener, config *tls.Config) error {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return errors.Wrap(s.http.Serve(listener), "link: serve")
}

// Shutdown stops accepting links. Open links are closed by their handlers.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.http.Shutdown(), "link: shutdown")
}

func (s *Server) upgrade(request *fasthttp.RequestCtx) {
	if string(request.Path()) != Path {
		request.Error("not found", fasthttp.StatusNotFound)
		return
	}
	err := s.upgrader.Upgrade(request, func(socket *websocket.Conn) {
		conn := newSocketConn(socket)
		defer conn.closeAndWait()
		s.handle(conn)
	})
	if err != nil {
		request.Error("upgrade failed", fasthttp.StatusBadRequest)
	}
}
