package operator

import (
	"context"
	"io"

	"google.golang.org/grpc"

	"github.com/pkg/errors"

	operatorv1 "clementineflow/api/operator/v1"
)

// WatchTask sends the task and then its new state after each change. The stream ends after a final
// state.
func (s *Server) WatchTask(request *operatorv1.GetTaskRequest, stream grpc.ServerStreamingServer[operatorv1.Task]) error {
	return s.callError("WatchTask", s.watchTask(request, stream), readCall)
}

func (s *Server) watchTask(request *operatorv1.GetTaskRequest, stream grpc.ServerStreamingServer[operatorv1.Task]) error {
	if request.GetId() == "" {
		return Errorf(CodeInvalidRequest, "id is required")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	records, err := s.config.Tasks.Watch(ctx, request.GetId())
	if err != nil {
		return s.forwardWatch(ctx, err, request, stream)
	}
	for {
		select {
		case record, ok := <-records:
			if !ok {
				return watchEndError(ctx)
			}
			if err := stream.Send(taskToMessage(record)); err != nil {
				return err
			}
			if record.IsFinal() {
				return nil
			}
		case <-s.stopping:
			return &Error{Code: CodeUnavailable, Message: "the entry is stopping", RetryAfter: retryUnavailable}
		}
	}
}

func watchEndError(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &Error{Code: CodeNotOwner, Message: "the shard of the task moved to another entry", RetryAfter: retryUnavailable}
}

func (s *Server) forwardWatch(ctx context.Context, cause error, request *operatorv1.GetTaskRequest,
	stream grpc.ServerStreamingServer[operatorv1.Task],
) error {
	ctx, client, err := s.ownerClient(ctx, cause)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.stopping:
			cancel()
		case <-done:
		}
	}()
	source, err := client.WatchTask(ctx, request)
	if err != nil {
		return forwardError(err, readCall)
	}
	for {
		message, err := source.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return forwardError(err, readCall)
		}
		if err := stream.Send(message); err != nil {
			return err
		}
	}
}
