package link

import (
	"crypto/tls"
	"net"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/ingress"
)

// Server accepts WebSocket links at Path.
type Server struct {
	handle   func(Conn)
	upgrader websocket.FastHTTPUpgrader
	http     *fasthttp.Server
	limits   Limits
}

// Limits bound what peers can make a server hold. The zero value sets no bound but wire.MaxFrameBytes.
type Limits struct {
	// Listener holds the budget of frames that are received.
	Listener *ingress.Listener
	// FirstMessageBytes bounds the first message of a peer, which identifies it.
	FirstMessageBytes int
	// CountQueued is set if frames that wait to be sent count in the budget as well. Send returns ErrQueueFull if it
	// is exhausted.
	CountQueued bool
}

// NewServer returns a server that calls handle in a separate goroutine for each new link. The link is
// closed when handle returns.
func NewServer(handle func(Conn)) *Server {
	s := &Server{handle: handle}
	s.upgrader = websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	s.http = &fasthttp.Server{Handler: s.upgrade, NoDefaultServerHeader: true}
	return s
}

// Limit sets the limits. It must be called before Serve.
func (s *Server) Limit(limits Limits) {
	s.limits = limits
	// A request for a link has no body.
	limits.Listener.Guard(s.http, func() int { return 0 })
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
		conn := newSocketConn(socket, s.limits)
		defer conn.closeAndWait()
		s.handle(conn)
	})
	if err != nil {
		request.Error("upgrade failed", fasthttp.StatusBadRequest)
	}
}
