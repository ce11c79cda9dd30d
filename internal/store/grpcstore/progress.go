package grpcstore

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// progress records whether the request of a call was sent and whether a response arrived. It distinguishes
// a call that failed before it was sent from one whose response was lost; both have the same status code.
type progress struct {
	sent      atomic.Bool
	responded atomic.Bool
}

// sentWithoutResponse reports whether the call was sent and no response arrived.
func (p *progress) sentWithoutResponse() bool { return p.sent.Load() && !p.responded.Load() }

type progressKey struct{}

func withProgress(ctx context.Context, p *progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// progressHandler is a stats handler that updates the progress stored in the context of a call.
type progressHandler struct{}

// TagRPC implements stats.Handler.
func (progressHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (progressHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.OutPayload:
		p.sent.Store(true)
	case *stats.InHeader, *stats.InTrailer:
		p.responded.Store(true)
	}
}

// TagConn implements stats.Handler.
func (progressHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (progressHandler) HandleConn(context.Context, stats.ConnStats) {}
