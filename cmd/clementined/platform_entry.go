package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"clementineflow/internal/bootclock"
	"clementineflow/internal/contain"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/gateway"
	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/relay"
	"clementineflow/internal/store"
	"clementineflow/platform"
)

const (
	// operatorWait is how long one call waits for changes of the operator's keys.
	operatorWait = time.Second
	// rotationTime is how long a stopping entry still serves, so that the platform's balancer notices.
	rotationTime = 2500 * time.Millisecond
	// statusMargin is how much longer than asked for the state of a finished job is kept.
	statusMargin = 30 * time.Second
)

// platformEntryCommand runs the entry role on the users' platform.
type platformEntryCommand struct{}

// Run serves until the context ends, then stops gracefully.
func (*platformEntryCommand) Run(ctx context.Context) error {
	p, err := newPlatformProcess()
	if err != nil {
		return err
	}
	return p.run(ctx, p.entry)
}

// entry serves clients and takes part in the election until the context ends.
func (p *platformProcess) entry(ctx context.Context) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	client := platform.NewStore(p.settings.StoreAddress)
	source := platform.OperatorSource{}
	view := operatorconfig.NewView(source, p.settings.Zones, p.logger)
	dialer := link.NewDialer(nil)
	detour := relay.New(relay.Config{
		Name: p.settings.Name, Address: p.settings.LinkAddress, Strength: p.settings.Processors,
		Store: client, Dialer: dialer, Logger: p.logger,
	})
	elected := coordinator.New(coordinator.Config{
		Name: p.settings.Name, Address: p.settings.LinkAddress, Strength: p.settings.Processors, Peers: detour,
		Store: detour, Dialer: dialer, View: view,
		Timing: planner.Timing{
			Authority: runAuthority, Margin: runAuthorityMargin, StatusPeriod: p.settings.StatusPeriod + statusMargin,
		},
		Now: bootclock.Now, Logger: p.logger,
	})
	peer := gateway.NewPeer(p.settings.LinkAddress, elected, detour, dialer, p.logger)
	front := platform.NewClientHandler(gateway.New(gateway.Config{
		Store: detour, View: view, Coordinator: peer, Logger: p.logger,
	}), p.logger)

	var group conc.WaitGroup
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: detour.Direct(), Prefix: source.Prefix(), Wait: operatorWait, Handle: view.Apply, Logger: p.logger,
	})
	// The operator's keys are followed until the last answer is out.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group.Go(func() { contain.RunWithRestart(serving, p.logger, "follow operator", mirror.Run) })
	group.Go(func() { p.followSettings(serving, func(s *platform.Settings) { client.SetAddress(s.StoreAddress) }) })
	group.Go(func() { elected.Run(ctx) })
	group.Go(func() { detour.Run(serving) })
	group.Go(func() { contain.RunWithRestart(serving, p.logger, "link to the coordinator", peer.Run) })
	p.serveMetrics(serving, &group)

	links := link.NewServer(func(conn link.Conn) {
		contain.Call(p.logger, "link of another entry", func() { peer.Serve(serving, conn) })
	})
	listener, err := listen(p.settings.LinkAddress)
	if err != nil {
		return err
	}
	group.Go(func() { _ = links.Serve(listener, nil) })
	readiness, clients := platform.NewServer(front.HandleReady, p.logger), platform.NewServer(front.Handle, p.logger)
	if err := p.serveHTTP(&group, readiness, p.settings.ReadinessAddress, fail); err != nil {
		return err
	}
	if err := p.serveHTTP(&group, clients, p.settings.ClientAddress, fail); err != nil {
		return err
	}

	<-ctx.Done()
	p.logger.Info("stopping", "cause", context.Cause(ctx))
	front.Drain()
	group.Go(func() { detour.Retire(serving) })
	time.Sleep(rotationTime)
	stop, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := clients.ShutdownWithContext(stop); err != nil {
		p.logger.Warn("connections are still open", "error", err)
	}
	// Waiting calls to the store end with the process.
	return nil
}
