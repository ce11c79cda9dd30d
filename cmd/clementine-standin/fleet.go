package main

import (
	"context"
	"net"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/resource"
	"clementineflow/internal/standin/fleet"
)

// fleetCommand runs many agents in one process.
type fleetCommand struct {
	Agents  int      `default:"11" help:"Number of agents."`
	Entries []string `required:"" help:"Link addresses of entries that the agents dial first."`
	Region  string   `default:"demo" help:"Region of the agents."`
	Zones   []string `default:"burnaby,surrey" help:"Availability zones; agents are put into them in turn."`
	CPU     float64  `name:"cpu" default:"16" help:"Processors of each worker, in cores."`
	Memory  float64  `default:"60" help:"Memory of each worker, in GiB."`
	Control string   `default:"127.0.0.1:7610" help:"Loopback address that serves /metrics and /starts."`
}

// Run serves until the context ends.
func (c *fleetCommand) Run(ctx context.Context) error {
	if !isLoopback(c.Control) {
		return errControlNotLoopback
	}
	logger := log.New(os.Stderr)
	logger.SetLevel(log.WarnLevel)
	agents, err := fleet.New(fleet.Config{
		Agents: c.Agents, Entries: c.Entries, Region: c.Region, Zones: c.Zones, Logger: logger,
		Capacity: resource.Quantity{MilliCPU: int64(c.CPU * 1000), MemoryBytes: int64(c.Memory * bytesPerGB)},
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Control)
	if err != nil {
		return errors.Wrap(err, "listen for the control interface")
	}
	mux := http.NewServeMux()
	mux.Handle("/starts", agents.Starts())
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	group.Go(agents.Run)
	group.Go(func(ctx context.Context) error { return serveHTTP(ctx, listener, mux) })
	return group.Wait()
}
