package main

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/agent"
	"clementineflow/internal/link"
	"clementineflow/internal/resource"
	"clementineflow/internal/runtime/httpruntime"
	"clementineflow/internal/settings"
	"clementineflow/internal/telemetry"
)

// agentCommand runs the agent role.
type agentCommand struct {
	Settings string `arg:"" help:"Path of the settings file."`
}

// Run serves until the context ends, then stops gracefully.
func (c *agentCommand) Run(ctx context.Context) error {
	p, err := newProcess(c.Settings, settings.RoleAgent)
	if err != nil {
		return err
	}
	configureGC(goMemoryLimit(p.settings.Limits, agentMemoryLimit))
	limits := newAgentIngress(p)
	daemon, err := agent.New(agent.Config{
		Name: p.settings.Name, Region: p.settings.Region, Zone: p.settings.Zone, Rack: p.settings.Rack,
		Entries: p.settings.Entries, Limits: agentLimits(p.settings.Worker), TargetListen: p.settings.Listen.Targets,
		Listen: limits.listenTargets,
		Dialer: link.NewDialer(p.clientTLS()), Runtime: httpruntime.New(p.settings.Runtime), Logger: p.logger,
	})
	if err != nil {
		return err
	}
	return p.run(ctx, func(ctx context.Context) error {
		return runUntilStopped(ctx, p.settings.StopTimeout, func(ctx context.Context) error {
			return runAgent(ctx, p, limits, daemon)
		})
	})
}

// runAgent runs the agent and, if the settings name an address, its metrics server, which stops with the agent.
func runAgent(ctx context.Context, p *process, limits *agentIngress, daemon *agent.Agent) error {
	if p.settings.Listen.Metrics == "" {
		return daemon.Run(ctx)
	}
	listener, err := limits.listenMetrics()
	if err != nil {
		return err
	}
	server := telemetry.NewServer(telemetry.ServerConfig{
		Listener: listener, TLS: p.metricsTLS(), Ready: func() error { return nil },
	})
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	tasks := pool.New().WithErrors()
	tasks.Go(func() error { return server.Run(serving) })
	tasks.Go(func() error {
		defer stop()
		return daemon.Run(ctx)
	})
	return tasks.Wait()
}

// agentLimits converts the worker settings to the limits of the agent.
func agentLimits(worker settings.Worker) agent.Limits {
	return agent.Limits{
		Size: resource.Quantity{
			MilliCPU: worker.MilliCPU, MemoryBytes: worker.MemoryBytes, Accelerators: worker.Accelerators,
		},
		Slots: worker.Slots, Connections: worker.Connections,
	}
}
