package main

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/entry"
	"clementineflow/internal/link"
	"clementineflow/internal/replay"
	"clementineflow/internal/settings"
	"clementineflow/internal/store/grpcstore"
)

// entryCommand runs the entry role.
type entryCommand struct {
	Settings string `arg:"" help:"Path of the settings file."`
}

// Run serves until the context ends, then stops gracefully.
func (c *entryCommand) Run(ctx context.Context) error {
	p, err := newProcess(c.Settings, settings.RoleEntry)
	if err != nil {
		return err
	}
	configureGC(goMemoryLimit(p.settings.Limits, noMemoryLimit))
	storeTLS, err := p.storeTLS()
	if err != nil {
		return err
	}
	client, err := grpcstore.New(grpcstore.Config{
		Address: p.settings.Store.Address, TLS: storeTLS, CallTimeout: p.settings.Store.Timeout,
	})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	seed := uint64(time.Now().UnixNano())
	recorder, err := p.recorder(seed)
	if err != nil {
		return err
	}
	daemon, err := entry.New(entry.Config{
		Name: p.settings.Name, Region: p.settings.Region, Zone: p.settings.Zone,
		Callers: p.settings.Listen.Callers, Operators: p.settings.Listen.Operators,
		Links: p.settings.Listen.Links, Metrics: p.settings.Listen.Metrics,
		AdvertisedOperators: p.settings.Advertise.Operators, AdvertisedLinks: p.settings.Advertise.Links,
		Store: client, Dialer: link.NewDialer(p.clientTLS()), ServerTLS: p.serverTLS(),
		OperatorDial: p.operatorDial, StopTimeout: p.settings.StopTimeout, Logger: p.logger,
		Memory: p.settings.Limits.MemoryBytes, OpenFiles: p.settings.Limits.OpenFiles,
		Seed: seed, Recorder: recorder,
	})
	if err != nil {
		return err
	}
	return p.run(ctx, daemon.Run)
}

// recorder returns a trace recorder, or nil if the settings name no trace file.
func (p *process) recorder(seed uint64) (*replay.Recorder, error) {
	if p.settings.Trace.File == "" {
		return nil, nil
	}
	return replay.NewRecorder(p.settings.Trace.File, p.settings.Trace.MaxBytes, replay.Header{
		Seed: seed, Region: p.settings.Region, Zone: p.settings.Zone,
	})
}

// storeTLS returns the TLS configuration for the platform's store, or nil without TLS.
func (p *process) storeTLS() (*tls.Config, error) {
	if p.certificates == nil {
		return nil, nil
	}
	host, _, err := net.SplitHostPort(p.settings.Store.Address)
	if err != nil {
		return nil, errors.Wrap(err, "store address")
	}
	return p.certificates.Client(host), nil
}
