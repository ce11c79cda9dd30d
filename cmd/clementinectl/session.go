package main

import (
	"context"
	"fmt"
	"io"

	"google.golang.org/grpc"

	operatorv1 "clementineflow/api/operator/v1"
)

// session is one run of the program.
type session struct {
	flags      connectionFlags
	format     string
	output     io.Writer
	messages   io.Writer
	connection *grpc.ClientConn
}

// client returns a client with an established connection.
func (s *session) client(ctx context.Context) (operatorv1.OperatorServiceClient, error) {
	if s.connection == nil {
		connection, err := s.flags.connect(ctx)
		if err != nil {
			return nil, err
		}
		s.connection = connection
	}
	return operatorv1.NewOperatorServiceClient(s.connection), nil
}

func (s *session) close() {
	if s.connection != nil {
		_ = s.connection.Close()
	}
}

// progress prints a line to standard error.
func (s *session) progress(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.messages, format+"\n", arguments...)
}

// method is a unary call of the client.
type method[Q, R any] func(operatorv1.OperatorServiceClient, context.Context, Q, ...grpc.CallOption) (R, error)

// call makes one call within the timeout.
func call[Q, R any](ctx context.Context, s *session, method method[Q, R], request Q) (R, error) {
	var none R
	client, err := s.client(ctx)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.flags.Timeout)
	defer cancel()
	return method(client, ctx, request)
}
