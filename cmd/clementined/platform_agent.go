package main

import (
	"context"

	"github.com/sourcegraph/conc"

	"clementineflow/internal/bootclock"
	"clementineflow/internal/contain"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/ingress"
	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/platform"
)

// platformAgentCommand runs the agent role on the users' platform.
type platformAgentCommand struct {
	Relief runner.Relief `help:"Fillers to pause beside a run over its target: ${enum}." enum:"all,largest" default:"all"`
}

// Run serves until the context ends, then stops gracefully.
func (c *platformAgentCommand) Run(ctx context.Context) error {
	p, err := newPlatformProcess()
	if err != nil {
		return err
	}
	return p.run(ctx, func(ctx context.Context) error { return p.agent(ctx, c.Relief) })
}

// agent manages the worker on this VM until the context ends.
func (p *platformProcess) agent(ctx context.Context, relief runner.Relief) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	name, address := p.settings.Name, p.settings.LinkAddress
	worker := platform.NewWorker(p.settings.WorkerAddress, p.logger)
	client := platform.NewStore(p.settings.StoreAddress, p.logger)
	agent := runner.New(runner.Config{
		Name: name, Worker: worker,
		LeaseTerm: min(runLeaseTerm, p.settings.MaxRunLease), Authority: runAuthority, Relief: relief,
		Now: bootclock.Now, Logger: p.logger,
	})
	var group conc.WaitGroup
	p.serveMetrics(ctx, &group)
	err := p.serveLinks(&group, func(conn link.Conn) {
		contain.Call(p.logger, "link of a coordinator", func() { agent.ServeLink(ctx, conn) })
	})
	if err != nil {
		return err
	}
	reports := platform.NewReportHandler(agent, p.settings.Service, p.logger)
	err = p.serveHTTP(&group, endpoint{
		server: platform.NewServer(reports.Handle, p.logger), address: p.settings.ReportAddress,
		limits: ingress.ListenerConfig{Name: "reports", Share: callShare}, bodyLimit: func() int { return platform.MinBodyBytes },
	}, fail)
	if err != nil {
		return err
	}
	group.Go(func() {
		p.watchSettings(ctx, func(s *platform.Settings) {
			worker.SetAddress(s.WorkerAddress)
			reports.SetService(s.Service)
			client.SetAddress(s.StoreAddress)
		})
	})
	registration := coordinator.Registration{
		Name: name, Address: address, Store: client, Reachable: agent.HasAuthority, Logger: p.logger,
	}
	group.Go(func() { registration.Run(ctx) })
	agent.Run(ctx)
	p.logger.Info("stopping", "cause", context.Cause(ctx))
	return nil
}
