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
	// forwardConnectTimeout bounds the wait for a connection; entries are about 1 ms apart.
	forwardConnectTimeout = time.Second
	// keepaliveTime is the shortest interval that the library allows a client.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// idleTimeout closes connections to entries that were replaced.
	idleTimeout = 5 * time.Minute
)

// Forwarder returns clients of other entries.
type Forwarder interface {
	// Client returns a client with an established connection to the operator address. Its error means
	// that nothing was sent.
	Client(ctx context.Context, address string) (operatorv1.OperatorServiceClient, error)
}

// ConnectionForwarder is a Forwarder that keeps one connection to each address.
type ConnectionForwarder struct {
	options     func(address string) []grpc.DialOption
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

var _ Forwarder = (*ConnectionForwarder)(nil)

// NewConnectionForwarder returns a forwarder; options gives the dial options for an address, among
// them the transport credentials.
func NewConnectionForwarder(options func(address string) []grpc.DialOption) *ConnectionForwarder {
	return &ConnectionForwarder{options: options, connections: map[string]*grpc.ClientConn{}}
}

// Client implements Forwarder.
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

// waitReady waits until the connection is established, so that a later failure of a call is known to
// have happened after sending.
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

// Close closes all connections.
func (f *ConnectionForwarder) Close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for address, connection := range f.connections {
		_ = connection.Close()
		delete(f.connections, address)
	}
}
