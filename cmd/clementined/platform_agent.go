package main

import (
	"context"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/bootclock"
	"clementineflow/internal/contain"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/link"
	"clementineflow/internal/runner"
	"clementineflow/internal/store"
	"clementineflow/platform"
)

// platformAgentCommand runs the agent role on the users' platform.
type platformAgentCommand struct{}

// Run serves until the context ends, then stops gracefully.
func (*platformAgentCommand) Run(ctx context.Context) error {
	p, err := newPlatformProcess()
	if err != nil {
		return err
	}
	return p.run(ctx, p.agent)
}

// agent manages the worker on this VM until the context ends.
func (p *platformProcess) agent(ctx context.Context) error {
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	name, address := p.settings.Name, p.settings.LinkAddress
	worker := platform.NewWorker(p.settings.WorkerAddress, p.logger)
	client := platform.NewStore(p.settings.StoreAddress, p.logger)
	agent := runner.New(runner.Config{
		Name: name, Worker: worker,
		LeaseTerm: min(runLeaseTerm, p.settings.MaxRunLease), Authority: runAuthority,
		Now: bootclock.Now, Logger: p.logger,
	})
	var group conc.WaitGroup
	p.serveMetrics(ctx, &group)
	links := link.NewServer(func(conn link.Conn) {
		contain.Call(p.logger, "link of a coordinator", func() { agent.ServeLink(ctx, conn) })
	})
	listener, err := listen(address)
	if err != nil {
		return err
	}
	group.Go(func() { _ = links.Serve(listener, nil) })
	reports := platform.NewReportHandler(agent, p.settings.Service, p.logger)
	if err := p.serveHTTP(&group, platform.NewServer(reports.Handle, p.logger), p.settings.ReportAddress, fail); err != nil {
		return err
	}
	group.Go(func() {
		p.watchSettings(ctx, func(s *platform.Settings) {
			worker.SetAddress(s.WorkerAddress)
			reports.SetService(s.Service)
			client.SetAddress(s.StoreAddress)
		})
	})
	group.Go(func() { p.register(ctx, client, name, address) })
	agent.Run(ctx)
	p.logger.Info("stopping", "cause", context.Cause(ctx))
	return nil
}

// register writes the agent's address to the store, from which the coordinator reads it, and retries until
// the write succeeds or the context ends.
func (p *platformProcess) register(ctx context.Context, client *platform.Store, name, address string) {
	value, err := coordinator.EncodeAgentRecord(&coordinator.AgentRecord{Address: address})
	if err != nil {
		p.logger.Error("agent record not encoded", "error", err)
		return
	}
	_, err = backoff.Retry(ctx, func() (store.Revision, error) {
		call, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		return client.Commit(call, store.Transaction{
			Writes: []store.Write{{Key: coordinator.AgentKey(name), Value: value}},
		})
	}, backoff.WithBackOff(registerBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil && !errors.Is(err, context.Canceled) {
		p.logger.Error("agent not registered", "error", err)
		return
	}
	p.logger.Info("registered", "address", address)
}
