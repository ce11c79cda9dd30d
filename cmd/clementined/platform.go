package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"clementineflow/internal/ingress"
	"clementineflow/internal/link"
	"clementineflow/internal/telemetry"
	"clementineflow/platform"
)

const (
	// platformLogQueueLines is the capacity of the log queue in lines.
	platformLogQueueLines = 4096
	// settingsPollInterval is the interval at which the settings file is polled.
	settingsPollInterval = 5 * time.Second
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the process's memory limit.
	memoryLimitFraction = 0.7
	// runAuthority is how long an acknowledged ping lets an agent extend its worker's lease. It covers a
	// network partition of 5.5 s and the reconnect after it, so that tasks behind the partition keep running.
	runAuthority = 7500 * time.Millisecond
	// runAuthorityMargin is how long the coordinator waits beyond runAuthority.
	runAuthorityMargin = 300 * time.Millisecond
	// runLeaseTerm is the longest extension of a worker's lease at a time. It covers a restart of the agent.
	runLeaseTerm = 6 * time.Second
)

// platformProcess holds the settings and the logger that both roles on the platform use.
type platformProcess struct {
	settings *platform.Settings
	logger   *log.Logger
	queue    *telemetry.Queue
	ingress  *ingress.Ingress
}

// Shares of the listeners in the budget and the connections of the process, in sixteenths. Their sum is 16.
const (
	// callShare is the share of the clients of an entry and of the status reports of an agent.
	callShare      = 9
	linkShare      = 5
	readinessShare = 1
	metricsShare   = 1
)

// firstMessageBytes bounds the first message on a link. It is the hello of a coordinator or a ping.
const firstMessageBytes = 64 << 10

// newPlatformProcess reads the platform's settings and sets up the garbage collector and the logger.
func newPlatformProcess() (*platformProcess, error) {
	loaded, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	configureGC(int64(memoryLimitFraction * float64(loaded.MemoryBytes)))
	logger, queue, err := telemetry.NewLogger(telemetry.LogConfig{
		Level: "info", Format: "text", QueueLines: platformLogQueueLines, Output: os.Stdout,
	})
	if err != nil {
		return nil, err
	}
	limits := ingress.DeriveLimits(loaded.MemoryBytes, loaded.MaxFiles)
	limits.Processors = loaded.Processors
	return &platformProcess{settings: loaded, logger: logger, queue: queue, ingress: ingress.New(limits, logger)}, nil
}

// run runs the daemon and flushes the log queue before it returns.
func (p *platformProcess) run(ctx context.Context, daemon func(context.Context) error) error {
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	var group conc.WaitGroup
	group.Go(func() { _ = p.queue.Run(logging) })
	p.logger.Info("started", "name", p.settings.Name, "zone", p.settings.Zone, "go_memory_limit", debug.SetMemoryLimit(-1))
	err := daemon(ctx)
	p.logger.Info("stopped", "error", err)
	stopLogging()
	group.Wait()
	return err
}

// watchSettings reloads the settings file on SIGHUP and every settingsPollInterval, since the file may change
// without a signal, and calls apply with the settings if they changed. It returns when the context ends.
func (p *platformProcess) watchSettings(ctx context.Context, apply func(*platform.Settings)) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	current := p.settings
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			signalled = true
		case <-ticker.C:
		}
		loaded, err := platform.LoadSettings()
		switch {
		case err != nil:
			p.logger.Error("settings not reloaded; the previous settings remain in effect", "error", err)
		case !reflect.DeepEqual(loaded, current):
			p.logger.Info("settings changed", "signalled", signalled, "store", loaded.StoreAddress, "worker", loaded.WorkerAddress)
			current = loaded
			apply(loaded)
		case signalled:
			p.logger.Info("settings reloaded without a change")
		}
	}
}

// listen opens a TCP listener on an IPv4 address within the limits.
func (p *platformProcess) listen(address string, limits ingress.ListenerConfig) (*ingress.Listener, error) {
	listener, err := ingress.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return p.ingress.Bound(listener, limits), nil
}

// endpoint is an HTTP server with its address and the limits of its listener.
type endpoint struct {
	server    *fasthttp.Server
	address   string
	limits    ingress.ListenerConfig
	bodyLimit func() int
}

// serveHTTP serves requests in the background. If the server fails, it calls fail with the error.
func (p *platformProcess) serveHTTP(group *conc.WaitGroup, e endpoint, fail context.CancelCauseFunc) error {
	listener, err := p.listen(e.address, e.limits)
	if err != nil {
		return err
	}
	listener.Guard(e.server, e.bodyLimit)
	group.Go(func() {
		if err := e.server.Serve(listener); err != nil {
			fail(errors.Wrapf(err, "serve %s", e.address))
		}
	})
	return nil
}

// serveLinks serves links in the background.
func (p *platformProcess) serveLinks(group *conc.WaitGroup, handle func(link.Conn)) error {
	listener, err := p.listen(p.settings.LinkAddress, ingress.ListenerConfig{Name: "links", Share: linkShare, HoldsLinks: true})
	if err != nil {
		return err
	}
	links := link.NewServer(handle)
	links.Limit(link.Limits{Listener: listener, FirstMessageBytes: firstMessageBytes, CountQueued: true})
	group.Go(func() { _ = links.Serve(listener, nil) })
	return nil
}

// serveMetrics serves the process's metrics in the background. Without a listener it logs a warning and returns.
func (p *platformProcess) serveMetrics(ctx context.Context, group *conc.WaitGroup) {
	listener, err := p.listen(p.settings.MetricsAddress, ingress.ListenerConfig{Name: "metrics", Share: metricsShare})
	if err != nil {
		p.logger.Warn("metrics are not served", "error", err)
		return
	}
	server := telemetry.NewServer(telemetry.ServerConfig{Listener: listener, Ready: func() error { return nil }})
	group.Go(func() { _ = server.Run(ctx) })
}
