package operator

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// watchInterval is the time between two looks at a watched zone or service.
const watchInterval = 500 * time.Millisecond

// message is a pointer to a protobuf message of type T.
type message[T any] interface {
	*T
	proto.Message
}

// watchChanges sends what read returns, now and whenever it differs from what was sent last. It ends
// with the error of read, with the stream, or when the entry stops.
func watchChanges[T any, M message[T]](s *Server, stream grpc.ServerStreamingServer[T], read func() (M, error)) error {
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
