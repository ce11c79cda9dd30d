package agent

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the announcement server.
const (
	announcePath             = "/v1/targets"
	metricsPath              = "/metrics"
	maxAnnouncementBytes     = 4 << 10
	maxAnnounceConnections   = 256
	announceReadTimeout      = 5 * targetTerm
	announceServerBufferSize = 2 << 10
)

// announceDuty serves target announcements and metrics on the loopback interface.
type announceDuty struct {
	listener net.Listener
	server   *fasthttp.Server
	post     func(context.Context, input) error
	ctx      context.Context
	cancel   context.CancelFunc
}

// newAnnounceDuty opens the listener of the server.
func newAnnounceDuty(address string, post func(context.Context, input) error) (*announceDuty, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "agent: listen for target announcements")
	}
	d := &announceDuty{listener: listener, post: post}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.server = &fasthttp.Server{
		Handler:               d.handle,
		MaxRequestBodySize:    maxAnnouncementBytes,
		Concurrency:           maxAnnounceConnections,
		ReadTimeout:           announceReadTimeout,
		ReadBufferSize:        announceServerBufferSize,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return d, nil
}

// serve accepts announcements until shutdown.
func (d *announceDuty) serve() {
	// The error of a closed listener is the regular end.
	_ = d.server.Serve(d.listener)
}

// shutdown ends the server.
func (d *announceDuty) shutdown() {
	d.cancel()
	// Announcements are short and repeated, so an incomplete one is of no consequence.
	_ = d.server.Shutdown()
}

// handle serves one HTTP request.
func (d *announceDuty) handle(request *fasthttp.RequestCtx) {
	switch {
	case request.IsGet() && string(request.Path()) == metricsPath:
		metrics.WritePrometheus(request, true)
	case request.IsPut() && string(request.Path()) == announcePath:
		d.announce(request)
	default:
		request.Error("not found", fasthttp.StatusNotFound)
	}
}

// announce passes an announcement to the core.
func (d *announceDuty) announce(request *fasthttp.RequestCtx) {
	announcement, err := DecodeAnnouncement(request.PostBody())
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if d.post(d.ctx, input{event: announced{announcement: announcement}}) != nil {
		request.Error("agent is stopping", fasthttp.StatusServiceUnavailable)
		return
	}
	request.SetStatusCode(fasthttp.StatusNoContent)
}
