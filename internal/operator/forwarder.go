package operator

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/keepalive"

	operatorv1 "clementineflow/api/operator/v1"
)

// Timing of connections between entries.
const (
	// forwardConnectTimeout bounds the wait for a connection. The latency between entries is about 1 ms.
	forwardConnectTimeout = time.Second
	// keepaliveTime is the shortest interval that gRPC allows for a client.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// idleTimeout is the time after which an unused connection is closed, such as one to an entry that
	// was replaced.
	idleTimeout = 5 * time.Minute
)

// Forwarder provides clients for calls to other entries.
type Forwarder interface {
	// Client returns a client with an established connection to the operator address. If it returns an
	// error, no call was sent.
	Client(ctx context.Context, address string) (operatorv1.OperatorServiceClient, error)
}

// ConnectionForwarder is a Forwarder that keeps one connection to each address.
type ConnectionForwarder struct {
	options     func(address string) []grpc.DialOption
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Forwarder = (*ConnectionForwarder)(nil)

// NewConnectionForwarder returns a forwarder without connections; it opens one when an address is
// first used. options returns the dial options for an address, including the transport credentials.
func NewConnectionForwarder(options func(address string) []grpc.DialOption) *ConnectionForwarder {
	return &ConnectionForwarder{options: options, connections: map[string]*grpc.ClientConn{}}
}

// Client implements Forwarder. It waits at most forwardConnectTimeout for the connection.
func (f *ConnectionForwarder) Client(ctx context.Context, address string) (operatorv1.OperatorServiceClient, error) {
	connection, err := f.connection(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardConnectTimeout)
	defer cancel()
	if err := waitReady(ctx, connection); err != nil {
		return nil, err
	}
	return operatorv1.NewOperatorServiceClient(connection), nil
}

func (f *ConnectionForwarder) connection(address string) (*grpc.ClientConn, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if connection, ok := f.connections[address]; ok {
		return connection, nil
	}
	options := append([]grpc.DialOption{
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}, f.options(address)...)
	connection, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, err
	}
	f.connections[address] = connection
	return connection, nil
}

// waitReady waits until the connection is established. A call that fails before then was certainly not
// sent; one that fails later may have been.
func waitReady(ctx context.Context, connection *grpc.ClientConn) error {
	for {
		state := connection.GetState()
		if state == connectivity.Ready {
			return nil
		}
		connection.Connect()
		if !connection.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
}

// Close closes all connections. Calls in progress on them fail.
func (f *ConnectionForwarder) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for address, connection := range f.connections {
		_ = connection.Close()
		delete(f.connections, address)
	}
}
