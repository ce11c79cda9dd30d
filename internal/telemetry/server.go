package telemetry

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/ingress"
)

// Limits of the HTTP server for metrics and health.
const (
	readTimeout     = 2 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 8 << 10
	maxBodyBytes    = 1 << 10
)

// ServerConfig holds the settings and dependencies of a Server.
type ServerConfig struct {
	// Listener is served within its limits if it is an *ingress.Listener.
	Listener net.Listener
	// TLS is nil for plaintext.
	TLS *tls.Config
	// Ready returns nil if the process is ready, otherwise an error with the reason. It must not block.
	Ready func() error
}

// Server serves /metrics, /livez and /readyz over HTTP.
type Server struct {
	listener net.Listener
	ready    func() error
	http     *fasthttp.Server
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(config ServerConfig) *Server {
	s := &Server{listener: config.Listener, ready: config.Ready}
	if config.TLS != nil {
		s.listener = tls.NewListener(config.Listener, config.TLS)
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		// Without CloseOnShutdown, the shutdown waits until idle connections time out.
		CloseOnShutdown: true,
	}
	if bounded, ok := config.Listener.(*ingress.Listener); ok {
		bounded.Guard(s.http, func() int { return maxBodyBytes })
	}
	return s
}

// Run serves until ctx is done, then waits up to shutdownTimeout for requests in progress.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve metrics and health")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	// Connections that are still open after the timeout are closed when the process exits.
	_ = s.http.ShutdownWithContext(shutdown)
	return ctx.Err()
}

func (s *Server) handle(request *fasthttp.RequestCtx) {
	if !request.IsGet() && !request.IsHead() {
		request.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
		return
	}
	switch string(request.Path()) {
	case "/metrics":
		request.SetContentType("text/plain; charset=utf-8")
		metrics.WritePrometheus(request, true)
	case "/livez":
		request.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(request)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// handleReady responds with status 503 and the reason if the process is not ready.
func (s *Server) handleReady(request *fasthttp.RequestCtx) {
	if err := s.ready(); err != nil {
		request.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	request.SetBodyString("ok\n")
}
