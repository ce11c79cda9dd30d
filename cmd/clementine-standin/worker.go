package main

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/resource"
	"clementineflow/internal/standin/worker"
)

// bytesPerGB is the unit of the memory flag.
const bytesPerGB = 1 << 30

// workerCommand runs the worker stand-in: a worker runtime and a target.
type workerCommand struct {
	Name          string        `default:"worker" help:"Name that the target puts into its answers."`
	RuntimeListen string        `default:"127.0.0.1:7601" help:"Address of the worker runtime."`
	TargetListen  string        `default:"127.0.0.1:7602" help:"Address of the target; empty for no target."`
	Control       string        `default:"127.0.0.1:7603" help:"Loopback address of the control port."`
	Agent         string        `help:"Announcement address of the agent; empty for no announcements."`
	Service       string        `default:"demo" help:"Service of the target."`
	Slots         int           `default:"8" help:"Requests that the target runs at a time."`
	Connections   int           `default:"64" help:"Connections that the target accepts."`
	CPU           float64       `name:"cpu" default:"16" help:"Processors of the worker, in cores."`
	Memory        float64       `default:"60" help:"Memory of the worker, in GiB."`
	Accelerators  int64         `default:"0" help:"Accelerators of the worker."`
	ServiceTime   time.Duration `default:"10ms" help:"Time of the target to answer on an idle worker."`
	UsageLag      time.Duration `default:"2s" help:"Age of the reported usage."`
	LeaveTimeout  time.Duration `default:"30s" help:"Longest wait for requests in progress on a planned stop."`
}

// Run serves until the context ends. The target then announces that it leaves and finishes the
// requests in progress.
func (c *workerCommand) Run(ctx context.Context) error {
	capacity := resource.Quantity{
		MilliCPU:     int64(c.CPU * 1000),
		MemoryBytes:  int64(c.Memory * bytesPerGB),
		Accelerators: c.Accelerators,
	}
	runtime := worker.NewRuntime(worker.RuntimeConfig{Capacity: capacity, UsageLag: c.UsageLag})
	target := worker.NewTarget(worker.TargetConfig{
		Name:             c.Name,
		Service:          c.Service,
		Slots:            c.Slots,
		Connections:      c.Connections,
		Agent:            c.Agent,
		CapacityMilliCPU: capacity.MilliCPU,
	}, worker.TargetSettings{ServiceMillis: c.ServiceTime.Milliseconds()}, runtime.Neighbours)
	return c.serve(ctx, runtime, target)
}

// serve opens the listeners and serves on them.
func (c *workerCommand) serve(ctx context.Context, runtime *worker.Runtime, target *worker.Target) error {
	servers := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	// The runtime and the control port answer until the target has left, as on a VM that is shut down
	// after its target.
	left := make(chan struct{})
	if err := listen(servers, c.RuntimeListen, runtime.ServeRuntime, func() { <-left }); err != nil {
		return err
	}
	if err := listen(servers, c.Control, worker.ServeControl(runtime, target), func() { <-left }); err != nil {
		return err
	}
	servers.Go(runtime.Run)
	if c.TargetListen == "" {
		close(left)
	} else {
		leave := func() {
			defer close(left)
			target.Leave(c.LeaveTimeout)
		}
		if err := listen(servers, c.TargetListen, target.ServeRequest, leave); err != nil {
			return err
		}
		go target.Announce(c.TargetListen)
	}
	return servers.Wait()
}

// listen serves an address until the context ends; it calls leave before it closes the listener.
func listen(servers *pool.ContextPool, address string, handler fasthttp.RequestHandler, leave func()) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
	servers.Go(func(ctx context.Context) error {
		<-ctx.Done()
		leave()
		return errors.Wrap(server.Shutdown(), "shut down "+address)
	})
	servers.Go(func(context.Context) error {
		return errors.Wrap(server.Serve(listener), "serve "+address)
	})
	return nil
}
