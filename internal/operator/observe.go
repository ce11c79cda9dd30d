package operator

import (
	"context"
	"fmt"
	"path"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
)

// observeUnary is an interceptor that records metrics of a call. It recovers a panic and returns
// CodeInternal, so that a faulty call cannot terminate the process.
func (s *Server) observeUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo,
	handler grpc.UnaryHandler,
) (response any, err error) {
	start := time.Now()
	defer func() {
		err = s.panicError(recover(), info.FullMethod, err)
		s.recordCall(info.FullMethod, start, err)
	}()
	return handler(ctx, request)
}

// observeStream does the same as observeUnary for streaming calls.
func (s *Server) observeStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo,
	handler grpc.StreamHandler,
) (err error) {
	start := time.Now()
	defer func() {
		err = s.panicError(recover(), info.FullMethod, err)
		s.recordCall(info.FullMethod, start, err)
	}()
	return handler(server, stream)
}

func (s *Server) panicError(cause any, method string, err error) error {
	if cause == nil {
		return err
	}
	s.config.Logger.Error("operator call panicked", "method", path.Base(method), "cause", cause,
		"stack", string(debug.Stack()))
	return statusError(Errorf(CodeInternal, "internal error; the log of the entry has the cause"), readCall)
}

func (s *Server) recordCall(method string, start time.Time, err error) {
	name := path.Base(method)
	metrics.GetOrCreateCounter(fmt.Sprintf(`clementine_operator_calls_total{method=%q,code=%q}`,
		name, status.Code(err))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`clementine_operator_call_seconds{method=%q}`, name)).
		UpdateDuration(start)
}

// callError converts the error of a call to a gRPC status. It logs the cause of an internal error,
// because the status omits it.
func (s *Server) callError(method string, err error, kind callKind) error {
	converted := statusError(err, kind)
	if detail := DetailOf(converted); detail != nil && detail.GetCode() == string(CodeInternal) {
		s.config.Logger.Error("operator call failed", "method", method, "error", err)
	}
	return converted
}
