package main

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	operatorv1 "clementineflow/api/operator/v1"
)

// printChanges prints each message of a stream until the stream or the context ends. The header of a
// table is printed once.
func printChanges[Request any, Response any, M interface {
	*Response
	proto.Message
}](ctx context.Context, s *session,
	watch func(operatorv1.OperatorServiceClient, context.Context, *Request, ...grpc.CallOption) (grpc.ServerStreamingClient[Response], error),
	request *Request, rows func(M) table,
) error {
	client, err := s.client(ctx)
	if err != nil {
		return err
	}
	stream, err := watch(client, ctx, request)
	if err != nil {
		return err
	}
	header := true
	for {
		response, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		err = s.print(M(response), func() table {
			all := rows(M(response))
			if !header {
				all = all[1:]
			}
			header = false
			return all
		})
		if err != nil {
			return err
		}
	}
}
