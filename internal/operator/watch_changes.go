package operator

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// watchInterval is the poll interval for a watched zone or service.
const watchInterval = 500 * time.Millisecond

// protoMessage constrains a type parameter to *T that implements proto.Message.
type protoMessage[T any] interface {
	*T
	proto.Message
}

// watchChanges polls read and sends its result whenever it differs from the one sent last. The first
// result is sent immediately. It returns when read fails, when the stream ends or when the entry
// stops.
func watchChanges[T any, M protoMessage[T]](s *Server, stream grpc.ServerStreamingServer[T], read func() (M, error)) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var last M
	for {
		current, err := read()
		if err != nil {
			return err
		}
		if last == nil || !proto.Equal(last, current) {
			if err := stream.Send((*T)(current)); err != nil {
				return err
			}
			last = current
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.stopping:
			return &Error{Code: CodeUnavailable, Message: "the entry is stopping", RetryAfter: retryUnavailable}
		case <-ticker.C:
		}
	}
}
