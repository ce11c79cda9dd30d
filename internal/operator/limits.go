package operator

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"clementineflow/internal/ingress"
	"clementineflow/internal/store"
)

// Limits of a server with a memory budget.
const (
	// maxMessageBytes has room for the largest document, which the store bounds, and the other fields of its call.
	maxMessageBytes = store.MaxValueBytes + 64<<10
	// windowBytes is what a client may send on a call before the server reads it. gRPC allows no smaller window.
	windowBytes = 64 << 10
	// decodedFactor estimates the memory of a message that is received and decoded.
	decodedFactor = 2
	// readingBytes is reserved for a call until its message has been received.
	readingBytes = decodedFactor * maxMessageBytes
	// maxCallsPerConn bounds the calls of a connection. The memory for all calls bounds them as well. A client waits with a
	// further call instead of failing it: with 32, watches that an entry forwards to another one held up all other calls.
	maxCallsPerConn = 256
	// maxHeaderBytes bounds the headers of a call.
	maxHeaderBytes = 16 << 10
	// messageTimeout bounds the time until the message of a call has been received, and handshakeTimeout the time
	// until a connection is ready.
	messageTimeout   = 5 * time.Second
	handshakeTimeout = 5 * time.Second
	// connIdleTime is how long a connection without calls stays open.
	connIdleTime = time.Minute
	// connBytes is the memory of a connection beyond that of plain HTTP: larger buffers.
	connBytes = 32 << 10
)

// ListenerConfig returns the limits of the operators' listener, except for its share.
func ListenerConfig() ingress.ListenerConfig {
	return ingress.ListenerConfig{Name: "operators", HoldsCalls: true, ConnBytes: connBytes}
}

// limitOptions returns the options of a server that serves a listener within its budget.
func limitOptions(listener *ingress.Listener) []grpc.ServerOption {
	limiter := callLimiter{listener: listener}
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxCallsPerConn),
		grpc.ForceServerCodecV2(newBoundedCodec()), grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(handshakeTimeout),
		// Without them, gRPC enlarges the windows with the throughput of a connection.
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes),
		grpc.InTapHandle(limiter.admit), grpc.StatsHandler(limiter),
		grpc.ChainUnaryInterceptor(limiter.limitUnary), grpc.ChainStreamInterceptor(limiter.limitStream),
	}
}

// keepaliveOf returns the keepalive parameters. With a budget, unused connections are closed.
func keepaliveOf(limited bool) keepalive.ServerParameters {
	parameters := keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}
	if limited {
		parameters.MaxConnectionIdle = connIdleTime
	}
	return parameters
}

// callLimiter reserves memory for the calls of a server.
type callLimiter struct{ listener *ingress.Listener }

// limitedCall is a call whose memory is reserved.
type limitedCall struct {
	account *ingress.Account
	// expired ends the call unless its message is received in time.
	expired *time.Timer
	// started is set once the server has begun to serve the call. It then holds its message until it ends, also if the
	// client cancels it.
	started atomic.Bool
}

type callKey struct{}

// errNoMemory rejects a call before it has run.
func errNoMemory() error {
	return statusError(&Error{
		Code: CodeOverloaded, Message: "the entry has no memory left for the call", RetryAfter: retryUnavailable,
	}, readCall)
}

// admit reserves the memory of a call before a byte of its message is read. It must not block.
func (l callLimiter) admit(ctx context.Context, _ *tap.Info) (context.Context, error) {
	account := l.listener.NewAccount()
	if !account.Reserve(readingBytes) {
		return nil, errNoMemory()
	}
	limited, cancel := context.WithCancel(ctx)
	call := &limitedCall{account: account, expired: time.AfterFunc(messageTimeout, cancel)}
	// The client or the server ends the context. A call that has not started, such as one of an unknown method, has no
	// other end.
	context.AfterFunc(ctx, func() {
		call.expired.Stop()
		cancel()
		if !call.started.Load() {
			account.Close()
		}
	})
	return context.WithValue(limited, callKey{}, call), nil
}

// HandleRPC implements stats.Handler: it returns the memory of a started call when that ends.
func (l callLimiter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	call, ok := ctx.Value(callKey{}).(*limitedCall)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.Begin:
		call.started.Store(true)
	case *stats.End:
		call.account.Close()
	}
}

// TagRPC implements stats.Handler.
func (l callLimiter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (l callLimiter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (l callLimiter) HandleConn(context.Context, stats.ConnStats) {}

// received keeps only the memory that a received message needs, and that for what the client may still send.
func received(ctx context.Context, message any) error {
	call, ok := ctx.Value(callKey{}).(*limitedCall)
	if !ok {
		return nil
	}
	if !call.expired.Stop() {
		return status.FromContextError(context.DeadlineExceeded).Err()
	}
	size := 0
	if encoded, ok := message.(proto.Message); ok {
		size = proto.Size(encoded)
	}
	call.account.Release(max(0, readingBytes-windowBytes-int64(decodedFactor*size)))
	return nil
}

func (l callLimiter) limitUnary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if err := received(ctx, request); err != nil {
		return nil, err
	}
	return handler(ctx, request)
}

func (l callLimiter) limitStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	return handler(server, &limitedStream{ServerStream: stream})
}

// limitedStream is the stream of a call with one message from the client.
type limitedStream struct{ grpc.ServerStream }

// RecvMsg implements grpc.ServerStream.
func (s *limitedStream) RecvMsg(message any) error {
	if err := s.ServerStream.RecvMsg(message); err != nil {
		return err
	}
	return received(s.Context(), message)
}
