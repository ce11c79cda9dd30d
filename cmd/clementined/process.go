package main

import (
	"context"
	"crypto/tls"
	"net"
	"os"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"clementineflow/internal/settings"
	"clementineflow/internal/telemetry"
)

// process holds the settings, logger and certificates that both roles use.
type process struct {
	settings     *settings.Settings
	logger       *log.Logger
	certificates *telemetry.Certificates
	queue        *telemetry.Queue
}

// newProcess reads the settings file and prepares logging and TLS.
func newProcess(path string, role settings.Role) (*process, error) {
	loaded, err := settings.LoadRole(path, role)
	if err != nil {
		return nil, err
	}
	logger, queue, err := telemetry.NewLogger(telemetry.LogConfig{
		Level: loaded.Log.Level, Format: loaded.Log.Format, QueueLines: loaded.Log.QueueLines, Output: os.Stderr,
	})
	if err != nil {
		return nil, err
	}
	p := &process{settings: loaded, logger: logger.With(string(role), loaded.Name), queue: queue}
	if loaded.TLS.Enabled() {
		p.certificates, err = telemetry.LoadCertificates(telemetry.Files{
			Certificate: loaded.TLS.Certificate, Key: loaded.TLS.Key, CA: loaded.TLS.ClientCA,
		})
	}
	return p, err
}

// run runs the daemon and flushes the log queue before it returns. A canceled context is not an error.
func (p *process) run(ctx context.Context, daemon func(context.Context) error) error {
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	group.Go(func() { _ = p.queue.Run(logging) })
	err := daemon(ctx)
	stopLogging()
	group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// serverTLS returns a function that builds the TLS configuration of a listener, or nil without TLS.
func (p *process) serverTLS() func(protocols ...string) *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Server
}

// clientTLS returns a function that builds the TLS configuration of a link to a host, or nil without TLS.
func (p *process) clientTLS() func(host string) *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Client
}

// operatorDial returns the dial options for another entry's operator address.
func (p *process) operatorDial(address string) []grpc.DialOption {
	if p.certificates == nil {
		return []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return []grpc.DialOption{grpc.WithTransportCredentials(credentials.NewTLS(p.certificates.Client(host)))}
}

// metricsTLS returns the TLS configuration of the metrics listener, or nil without TLS.
func (p *process) metricsTLS() *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Server()
}
