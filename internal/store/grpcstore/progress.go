package grpcstore

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// progress records how far one call came. It separates a call that was refused before it was sent
// from one whose answer was lost, which have the same status code.
type progress struct {
	sent     atomic.Bool
	answered atomic.Bool
}

// unanswered reports that the call was sent and nothing came back.
func (p *progress) unanswered() bool { return p.sent.Load() && !p.answered.Load() }

type progressKey struct{}

func withProgress(ctx context.Context, p *progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// sentHandler fills in the progress of the call whose context carries one.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.OutPayload:
		p.sent.Store(true)
	case *stats.InHeader, *stats.InTrailer:
		p.answered.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
