package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store/grpcstore"
)

// controlTimeout bounds one request to the control port.
const controlTimeout = 5 * time.Second

// errControlNotLoopback reports a control address that other machines could reach.
var errControlNotLoopback = errors.New("the control address must be a loopback IP address and port")

// storeCommand runs the store stand-in.
type storeCommand struct {
	Listen  string `default:"127.0.0.1:7400" help:"IP address and port of the store's gRPC service."`
	Control string `default:"127.0.0.1:7401" help:"Loopback IP address and port of the HTTP control interface."`
	Seed    uint64 `default:"1" help:"Seed of the random faults."`
}

// Run serves until the context ends. State is in memory and is lost at the end.
func (c *storeCommand) Run(ctx context.Context) error {
	if !isLoopback(c.Control) {
		return errControlNotLoopback
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the store service")
	}
	control, err := net.Listen("tcp", c.Control)
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "listen for the control interface")
	}
	logger := log.New(os.Stderr)
	logger.Info("store stand-in is serving", "listen", listener.Addr(), "control", control.Addr())
	faulty := kvstore.NewFaulty(kvstore.NewMemory(), c.Seed)
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(func(ctx context.Context) error { return serveStore(ctx, listener, faulty) })
	group.Go(func(ctx context.Context) error { return serveControl(ctx, control, faulty) })
	return group.Wait()
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func serveStore(ctx context.Context, listener net.Listener, faulty *kvstore.Faulty) error {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(grpcstore.MaxMessageBytes),
		grpc.MaxSendMsgSize(grpcstore.MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(grpcstore.ServerKeepalivePolicy()),
	)
	storev1.RegisterStoreServiceServer(server, kvstore.NewServer(faulty))
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return errors.Wrap(server.Serve(listener), "serve the store")
}

func serveControl(ctx context.Context, listener net.Listener, faulty *kvstore.Faulty) error {
	return serveHTTP(ctx, listener, kvstore.NewControl(faulty))
}

// serveHTTP serves a control interface until the context ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: controlTimeout,
		ReadTimeout:       controlTimeout,
		WriteTimeout:      controlTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the control interface")
	}
	return nil
}
