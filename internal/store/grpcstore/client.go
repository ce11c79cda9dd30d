// Package grpcstore is the gRPC client of the platform's key-value service.
package grpcstore

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

const (
	// DefaultCallTimeout is the default timeout of one call. The service responds within milliseconds, and
	// several calls can time out within a lease of 3 s.
	DefaultCallTimeout = 500 * time.Millisecond
	// MaxMessageBytes is the largest message: a list of 16 shards of 1 MB each, with headers.
	MaxMessageBytes = 20 << 20
	// maxTimeouts is the number of consecutive timeouts after which the connection is replaced. An open
	// connection can stop responding while new connections work.
	maxTimeouts = 3
	// maxReconnectDelay is the maximum delay between connection attempts. It lets the client reconnect to a
	// recovered store within the renewal interval of a lease.
	maxReconnectDelay = time.Second
	// keepaliveInterval is the shortest interval that gRPC permits to a client.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// TLS is the TLS configuration; nil means a connection without encryption.
	TLS *tls.Config
	// CallTimeout bounds each call except Watch; zero means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Client implements store.Store over gRPC. It replaces a connection that stops responding.
type Client struct {
	config Config

	mu         sync.Mutex
	connection *grpc.ClientConn
	timeouts   int
	closed     bool
}

var _ store.Store = (*Client)(nil)

// New returns a client; the connection is opened with the first call.
func New(config Config) (*Client, error) {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	client := &Client{config: config}
	connection, err := client.newConnection()
	if err != nil {
		return nil, err
	}
	client.connection = connection
	return client, nil
}

// ServerKeepalivePolicy returns the policy that a server needs to accept this client's keepalives.
func ServerKeepalivePolicy() keepalive.EnforcementPolicy {
	return keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}
}

func (c *Client) newConnection() (*grpc.ClientConn, error) {
	transport := insecure.NewCredentials()
	if c.config.TLS != nil {
		transport = credentials.NewTLS(c.config.TLS)
	}
	retry := backoff.DefaultConfig
	retry.BaseDelay = maxReconnectDelay / 10
	retry.MaxDelay = maxReconnectDelay
	connection, err := grpc.NewClient("passthrough:///"+c.config.Address,
		grpc.WithTransportCredentials(transport),
		grpc.WithStatsHandler(progressHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
	)
	return connection, errors.Wrap(err, "grpcstore: create connection")
}

// Close ends the connection and the watches on it.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return errors.Wrap(c.connection.Close(), "grpcstore: close")
}

func (c *Client) currentConnection() *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// recordCall counts consecutive timeouts on a connection and replaces the connection after maxTimeouts.
func (c *Client) recordCall(used *grpc.ClientConn, timedOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if used != c.connection || c.closed {
		return
	}
	if !timedOut {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < maxTimeouts {
		return
	}
	replacement, err := c.newConnection()
	if err != nil {
		return
	}
	_ = c.connection.Close()
	c.connection = replacement
	c.timeouts = 0
}

// storeClient is the generated client of the store's interface.
type storeClient = storev1.StoreServiceClient

// call runs one unary call with the call timeout and maps its error according to access.
func call[Response any](
	ctx context.Context, c *Client, access access, run func(context.Context, storeClient) (Response, error),
) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	progress := &progress{}
	connection := c.currentConnection()
	response, err := run(withProgress(ctx, progress), storev1.NewStoreServiceClient(connection))
	c.recordCall(connection, status.Code(err) == codes.DeadlineExceeded && progress.sentWithoutResponse())
	return response, mapError(err, access, progress)
}
