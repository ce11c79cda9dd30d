package agent

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/ingress"
)

// Limits of the announcement server.
const (
	announcePath             = "/v1/targets"
	metricsPath              = "/metrics"
	maxAnnouncementBytes     = 4 << 10
	maxAnnounceConnections   = 256
	announceReadTimeout      = 5 * announcementTTL
	announceServerBufferSize = 2 << 10
)

// announcementServer is the HTTP server for target announcements and metrics on the loopback interface.
type announcementServer struct {
	listener net.Listener
	server   *fasthttp.Server
	post     func(context.Context, input) error
	ctx      context.Context
	cancel   context.CancelFunc
}

// newAnnouncementServer opens the listener; serve must be called to accept requests. listen may be nil.
func newAnnouncementServer(address string, listen func(string) (net.Listener, error),
	post func(context.Context, input) error,
) (*announcementServer, error) {
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := listen(address)
	if err != nil {
		return nil, errors.Wrap(err, "agent: listen for target announcements")
	}
	d := &announcementServer{listener: listener, post: post}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.server = &fasthttp.Server{
		Handler:               d.handleRequest,
		MaxRequestBodySize:    maxAnnouncementBytes,
		Concurrency:           maxAnnounceConnections,
		ReadTimeout:           announceReadTimeout,
		WriteTimeout:          announceReadTimeout,
		ReadBufferSize:        announceServerBufferSize,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	if limited, ok := listener.(*ingress.Listener); ok && limited.CountsConns() {
		limited.Guard(d.server, func() int { return maxAnnouncementBytes })
	}
	return d, nil
}

// serve handles requests until shutdown.
func (d *announcementServer) serve() {
	// Serve returns an error when shutdown closes the listener; this is the normal case.
	_ = d.server.Serve(d.listener)
}

// shutdown stops the server and unblocks handlers that wait for the event queue.
func (d *announcementServer) shutdown() {
	d.cancel()
	// Targets repeat their announcements, so an interrupted one can be ignored.
	_ = d.server.Shutdown()
}

// handleRequest dispatches an HTTP request by method and path.
func (d *announcementServer) handleRequest(request *fasthttp.RequestCtx) {
	switch {
	case request.IsGet() && string(request.Path()) == metricsPath:
		metrics.WritePrometheus(request, true)
	case request.IsPut() && string(request.Path()) == announcePath:
		d.handleAnnouncement(request)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// handleAnnouncement validates an announcement and queues it for the core.
func (d *announcementServer) handleAnnouncement(request *fasthttp.RequestCtx) {
	announcement, err := DecodeAnnouncement(request.PostBody())
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if d.post(d.ctx, input{event: targetAnnounced{announcement: announcement}}) != nil {
		request.Error("agent is stopping", fasthttp.StatusServiceUnavailable)
		return
	}
	request.SetStatusCode(fasthttp.StatusNoContent)
}
