package main

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/backlog"
	"clementineflow/internal/bootclock"
	"clementineflow/internal/contain"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/gateway"
	"clementineflow/internal/ingress"
	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/relay"
	"clementineflow/internal/store"
	"clementineflow/internal/urgency"
	"clementineflow/platform"
)

const (
	// operatorPollTimeout is the timeout of one long poll for changes to the operator's keys.
	operatorPollTimeout = time.Second
	// drainDelay is how long a stopping entry still serves requests, so that the platform's load balancer
	// can take it out of rotation.
	drainDelay = 2500 * time.Millisecond
	// statusRetentionMargin is added to the configured time for which the state of a finished job is kept.
	statusRetentionMargin = 30 * time.Second
)

// platformEntryCommand runs the entry role on the users' platform.
type platformEntryCommand struct {
	YieldThrottled bool          `help:"Stop fillers that stay throttled to 0 percent if another worker takes them."`
	MatchFillers   bool          `help:"Place fillers where they use a small share of the headroom that runs with a latency target have left."`
	KeepPressures  bool          `help:"Keep the learned pressures of fillers in the store for later coordinators."`
	Order          urgency.Order `enum:"level,cost" default:"level" help:"Order of waiting jobs of one priority: by level, or by the cost of their delay."`
}

// Run serves until the context ends, then stops gracefully.
func (c *platformEntryCommand) Run(ctx context.Context) error {
	p, err := newPlatformProcess()
	if err != nil {
		return err
	}
	return p.run(ctx, func(ctx context.Context) error { return p.entry(ctx, c) })
}

// entryComponents are the components of an entry.
type entryComponents struct {
	client      *platform.Store
	view        *operatorconfig.View
	relay       *relay.Relay
	coordinator *coordinator.Coordinator
	peer        *gateway.Peer
	handler     *platform.ClientHandler
}

// newEntryComponents returns the components of an entry, none of which runs yet.
func (p *platformProcess) newEntryComponents(options *platformEntryCommand) *entryComponents {
	e := &entryComponents{client: platform.NewStore(p.settings.StoreAddress, p.logger)}
	source := platform.OperatorSource{}
	e.view = operatorconfig.NewView(source, p.settings.Zones, p.logger)
	dialer := link.NewDialer(nil)
	monitor := gateway.NewStoreMonitor(p.logger)
	limit := backlog.DeriveLimit(p.settings.MemoryBytes)
	admission := backlog.NewAdmission(limit)
	token := &link.Token{}
	e.relay = relay.New(relay.Config{
		Name: p.settings.Name, Address: p.settings.LinkAddress, Strength: p.settings.Processors, Backlog: limit,
		Token: token,
		Store: store.Observe(e.client, source.Prefix(), monitor), Dialer: dialer, Logger: p.logger,
	})
	e.coordinator = coordinator.New(coordinator.Config{
		Name: p.settings.Name, Address: p.settings.LinkAddress, Strength: p.settings.Processors, Peers: e.relay,
		Store: e.relay, Dialer: dialer, View: e.view,
		Timing: planner.Timing{
			Authority: runAuthority, Margin: runAuthorityMargin, StatusPeriod: p.settings.StatusPeriod + statusRetentionMargin,
		},
		Options: planner.Options{Order: options.Order, YieldThrottled: options.YieldThrottled, MatchFillers: options.MatchFillers},
		Backlog: limit, Admission: admission,
		KeepPressures: options.KeepPressures, Now: bootclock.Now, Logger: p.logger,
	})
	e.peer = gateway.NewPeer(p.settings.LinkAddress, e.coordinator, e.relay, dialer, p.logger)
	e.peer.Authenticate(token)
	e.peer.ShareSuspicions(monitor)
	e.handler = platform.NewClientHandler(gateway.New(gateway.Config{
		Store: e.relay, View: e.view, Coordinator: e.peer, Admission: admission, Monitor: monitor, Logger: p.logger,
		StoreRates: gateway.StoreRates{Writes: p.settings.StoreWrites, Reads: p.settings.StoreReads}, Entries: e.relay.Entries,
	}), p.logger)
	return e
}

// entry serves clients and takes part in the leader election until the context ends.
func (p *platformProcess) entry(ctx context.Context, options *platformEntryCommand) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	e := p.newEntryComponents(options)
	var group conc.WaitGroup
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: e.relay.Direct(), Prefix: platform.OperatorSource{}.Prefix(), Wait: operatorPollTimeout, Handle: e.view.Apply,
		Logger: p.logger,
	})
	// The operator's keys are watched until the last response is sent.
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group.Go(func() { contain.RunWithRestart(serving, p.logger, "follow operator", mirror.Run) })
	group.Go(func() { p.watchSettings(serving, func(s *platform.Settings) { e.client.SetAddress(s.StoreAddress) }) })
	group.Go(func() { e.coordinator.Run(ctx) })
	group.Go(func() { e.relay.Run(serving) })
	group.Go(func() { contain.RunWithRestart(serving, p.logger, "link to the coordinator", e.peer.Run) })
	p.serveMetrics(serving, &group)
	clients, err := p.serveEntry(serving, &group, e, fail)
	if err != nil {
		return err
	}

	<-ctx.Done()
	p.logger.Info("stopping", "cause", context.Cause(ctx))
	e.handler.Drain()
	group.Go(func() { e.relay.Retire(serving) })
	time.Sleep(drainDelay)
	stop, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := clients.ShutdownWithContext(stop); err != nil {
		p.logger.Warn("connections are still open", "error", err)
	}
	// Pending calls to the store end with the process.
	return nil
}

// serveEntry serves the links of other entries, the readiness check and client calls in the background. It returns the
// server of client calls. If a server fails, it calls fail with the error.
func (p *platformProcess) serveEntry(
	ctx context.Context, group *conc.WaitGroup, e *entryComponents, fail context.CancelCauseFunc,
) (*fasthttp.Server, error) {
	err := p.serveLinks(group, func(conn link.Conn) {
		contain.Call(p.logger, "link of another entry", func() { e.peer.Serve(ctx, conn) })
	})
	if err != nil {
		return nil, err
	}
	err = p.serveHTTP(group, endpoint{
		server: platform.NewServer(e.handler.HandleReady, p.logger), address: p.settings.ReadinessAddress,
		limits: ingress.ListenerConfig{Name: "readiness", Share: readinessShare}, bodyLimit: func() int { return platform.MinBodyBytes },
	}, fail)
	if err != nil {
		return nil, err
	}
	clients := platform.NewServer(e.handler.Handle, p.logger)
	err = p.serveHTTP(group, endpoint{
		server: clients, address: p.settings.ClientAddress,
		limits: ingress.ListenerConfig{Name: "clients", Share: callShare}, bodyLimit: platform.ClientBodyLimit(e.view),
	}, fail)
	return clients, err
}
