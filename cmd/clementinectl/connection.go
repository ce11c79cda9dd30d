package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"clementineflow/internal/telemetry"
)

// Timing of the keepalive that detects an entry that went silent during a watch.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
)

// connectionFlags say how to reach an entry.
type connectionFlags struct {
	Server        string `env:"CLEMENTINE_SERVER" default:"127.0.0.1:7450" placeholder:"HOST:PORT" help:"Operator address of an entry."`
	TLSCert       string `name:"tls-certificate" env:"CLEMENTINE_TLS_CERTIFICATE" placeholder:"FILE" help:"Client certificate (PEM)."`
	TLSKey        string `name:"tls-key" env:"CLEMENTINE_TLS_KEY" placeholder:"FILE" help:"Key of the client certificate (PEM)."`
	TLSCA         string `name:"tls-ca" env:"CLEMENTINE_TLS_CA" placeholder:"FILE" help:"CA that signs the entries' certificates (PEM)."`
	TLSServerName string `name:"tls-server-name" placeholder:"NAME" help:"Name in the entry's certificate; default: the host of --server."`

	Timeout time.Duration `default:"10s" help:"Timeout of one call."`
}

// lastError keeps the latest cause of a failed connection, which the library does not return.
type lastError struct {
	mutex sync.Mutex
	err   error
}

func (l *lastError) set(err error) {
	if err == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.err = err
}

func (l *lastError) get() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.err
}

// observedCredentials records failed handshakes.
type observedCredentials struct {
	credentials.TransportCredentials
	last *lastError
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *observedCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, raw)
	c.last.set(err)
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *observedCredentials) Clone() credentials.TransportCredentials {
	return &observedCredentials{c.TransportCredentials.Clone(), c.last}
}

// connect establishes a connection. An error means that nothing was sent, so that the exit code of a
// change is "unavailable" and not "outcome unknown".
func (f connectionFlags) connect(ctx context.Context) (*grpc.ClientConn, error) {
	transport, err := f.credentials()
	if err != nil {
		return nil, err
	}
	last := &lastError{}
	connection, err := grpc.NewClient("passthrough:///"+f.Server,
		grpc.WithTransportCredentials(&observedCredentials{transport, last}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			dialled, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			last.set(err)
			return dialled, err
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}))
	if err != nil {
		return nil, usageError("--server: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	if !waitReady(ctx, connection) {
		_ = connection.Close()
		cause := last.get()
		if cause == nil {
			cause = ctx.Err()
		}
		return nil, &exitError{code: exitUnavailable, cause: fmt.Errorf("cannot connect to %s: %w", f.Server, cause)}
	}
	return connection, nil
}

// waitReady returns false after the first failed attempt: operators try another entry rather than wait.
func waitReady(ctx context.Context, connection *grpc.ClientConn) bool {
	connection.Connect()
	for {
		state := connection.GetState()
		switch state {
		case connectivity.Ready:
			return true
		case connectivity.TransientFailure, connectivity.Shutdown:
			return false
		}
		if !connection.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

func (f connectionFlags) credentials() (credentials.TransportCredentials, error) {
	if f.TLSCert == "" && f.TLSKey == "" && f.TLSCA == "" {
		return insecure.NewCredentials(), nil
	}
	if f.TLSCert == "" || f.TLSKey == "" || f.TLSCA == "" {
		return nil, usageError("--tls-certificate, --tls-key and --tls-ca belong together")
	}
	loaded, err := telemetry.LoadCertificates(telemetry.Files{Certificate: f.TLSCert, Key: f.TLSKey, CA: f.TLSCA})
	if err != nil {
		return nil, &exitError{code: exitUsage, cause: err}
	}
	name := f.TLSServerName
	if name == "" {
		host, _, err := net.SplitHostPort(f.Server)
		if err != nil {
			return nil, usageError("--server: %w", err)
		}
		name = host
	}
	return credentials.NewTLS(loaded.Client(name)), nil
}
