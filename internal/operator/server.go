// Package operator serves the operators' gRPC interface. It validates and converts messages, forwards
// calls for tasks that another entry owns once, and leaves decisions to its dependencies.
package operator

import (
	"context"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

const (
	// minClientKeepalive permits the keepalive of clients and peer entries.
	minClientKeepalive = 5 * time.Second
	// stopTimeout bounds the wait for calls in progress; each ends within its own deadline as a rule.
	stopTimeout = 10 * time.Second
)

// ErrConfig reports a Config with a missing dependency.
var ErrConfig = errors.New("operator: missing dependency")

// Config holds what a Server depends on. All fields but Options are required.
type Config struct {
	// Name is the name of this entry.
	Name          string
	Region        string
	Tasks         Tasks
	Configuration Configuration
	Fleet         Fleet
	Entries       Entries
	Mutations     Mutations
	Forwarder     Forwarder
	Logger        *log.Logger
	// Options are added to the gRPC server, such as its transport credentials.
	Options []grpc.ServerOption
}

// Server implements the operators' interface.
type Server struct {
	operatorv1.UnimplementedOperatorServiceServer
	config   Config
	stopping chan struct{}
}

// New returns a server, or ErrConfig if a dependency is missing.
func New(config Config) (*Server, error) {
	if config.Name == "" || config.Region == "" || config.Tasks == nil || config.Configuration == nil ||
		config.Fleet == nil || config.Entries == nil || config.Mutations == nil ||
		config.Forwarder == nil || config.Logger == nil {
		return nil, ErrConfig
	}
	return &Server{config: config, stopping: make(chan struct{})}, nil
}

// Serve serves the listener until the context ends, then finishes calls in progress; watches end at
// once. It is called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := append([]grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minClientKeepalive, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.ChainUnaryInterceptor(s.observeUnary),
		grpc.ChainStreamInterceptor(s.observeStream),
	}, s.config.Options...)
	server := grpc.NewServer(options...)
	operatorv1.RegisterOperatorServiceServer(server, s)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve operators")
	case <-ctx.Done():
	}
	close(s.stopping)
	stop(server)
	if err := <-served; err != nil {
		return errors.Wrap(err, "stop serving operators")
	}
	return ctx.Err()
}

// stop stops the server gracefully, at the latest after stopTimeout.
func stop(server *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

// document returns the current document, or CodeNoConfiguration.
func (s *Server) document() (*configuration.Document, error) {
	document := s.config.Configuration.Document()
	if document == nil {
		return nil, &Error{
			Code: CodeNoConfiguration, RetryAfter: retryUnavailable,
			Message: "this entry knows no configuration; the region has none, or the store is not reachable",
		}
	}
	return document, nil
}

// author names who asks for a change: the subject of the client certificate, else the given name.
func author(ctx context.Context, given string) string {
	if client, ok := peer.FromContext(ctx); ok {
		if name := certificateName(client); name != "" {
			return name
		}
	}
	return given
}
