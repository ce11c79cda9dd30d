package main

import (
	"context"
	"net"
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
}

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
	return &platformProcess{settings: loaded, logger: logger, queue: queue}, nil
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

// listen opens a TCP listener on an IPv4 address.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// serveHTTP serves requests in the background. If the server fails, it calls fail with the error.
func (p *platformProcess) serveHTTP(group *conc.WaitGroup, server *fasthttp.Server, address string, fail context.CancelCauseFunc) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	group.Go(func() {
		if err := server.Serve(listener); err != nil {
			fail(errors.Wrapf(err, "serve %s", address))
		}
	})
	return nil
}

// serveMetrics serves the process's metrics in the background. Without a listener it logs a warning and returns.
func (p *platformProcess) serveMetrics(ctx context.Context, group *conc.WaitGroup) {
	listener, err := listen(p.settings.MetricsAddress)
	if err != nil {
		p.logger.Warn("metrics are not served", "error", err)
		return
	}
	server := telemetry.NewServer(telemetry.ServerConfig{Listener: listener, Ready: func() error { return nil }})
	group.Go(func() { _ = server.Run(ctx) })
}
