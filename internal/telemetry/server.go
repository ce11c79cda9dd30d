package telemetry

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Limits of the HTTP server for metrics and health.
const (
	readHeaderTimeout = 2 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
	shutdownTimeout   = 2 * time.Second
	maxHeaderBytes    = 8 << 10
)

// ServerConfig holds what a Server depends on.
type ServerConfig struct {
	Listener net.Listener
	// TLS is nil for plaintext.
	TLS *tls.Config
	// Ready returns nil if the process can do its work, otherwise the reason. It must not block.
	Ready func() error
}

// Server serves /metrics, /livez and /readyz over HTTP.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer returns a server that owns the listener.
func NewServer(config ServerConfig) *Server {
	listener := config.Listener
	if config.TLS != nil {
		listener = tls.NewListener(listener, config.TLS)
	}
	return &Server{listener: listener, http: &http.Server{
		Handler:           handler(config.Ready),
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// Run serves until the context ends, then finishes requests in progress.
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
	if err := s.http.Shutdown(shutdown); err != nil {
		_ = s.http.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "stop serving metrics and health")
	}
	return ctx.Err()
}

func handler(ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", serveMetrics)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	return mux
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}
