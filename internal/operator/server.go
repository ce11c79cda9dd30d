// Package operator serves the operators' gRPC interface. It validates requests, converts messages and
// delegates the calls to its dependencies. A call for a task that another entry owns is forwarded to
// that entry, at most once.
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
	"clementineflow/internal/ingress"
)

const (
	// minClientKeepalive is the shortest keepalive interval that the server accepts. It is below the
	// interval of clients and peer entries, so that their connections are not closed.
	minClientKeepalive = 5 * time.Second
	// stopTimeout bounds the wait for calls in progress during a shutdown. Most calls end earlier at
	// their own deadline.
	stopTimeout = 10 * time.Second
)

// ErrConfig reports a Config with a missing dependency.
var ErrConfig = errors.New("operator: missing dependency")

// Config holds the settings and dependencies of a Server. All fields except Options are required.
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

// Server implements the gRPC service of the operator interface.
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

// Serve accepts calls on the listener until the context ends. It then terminates watches immediately
// and waits at most stopTimeout for other calls in progress. It returns the error of the context after
// a clean shutdown. It must be called only once. The calls are served within the budget of the listener if it is an
// *ingress.Listener with one.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	bounded, limited := listener.(*ingress.Listener)
	limited = limited && bounded.CountsConns()
	options := append([]grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minClientKeepalive, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepaliveOf(limited)),
		grpc.ChainUnaryInterceptor(s.observeUnary),
		grpc.ChainStreamInterceptor(s.observeStream),
	}, s.config.Options...)
	if limited {
		options = append(options, limitOptions(bounded)...)
	}
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
	stopServer(server)
	if err := <-served; err != nil {
		return errors.Wrap(err, "stop serving operators")
	}
	return ctx.Err()
}

// stopServer stops the server gracefully. After stopTimeout it aborts the calls in progress.
func stopServer(server *grpc.Server) {
	timer := time.AfterFunc(stopTimeout, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

// document returns the current document, or an error with CodeNoConfiguration if there is none.
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

// changeAuthor returns the author of a change: the common name of the verified client certificate, or
// the given name if there is no such certificate.
func changeAuthor(ctx context.Context, given string) string {
	if client, ok := peer.FromContext(ctx); ok {
		if name := certificateName(client); name != "" {
			return name
		}
	}
	return given
}
