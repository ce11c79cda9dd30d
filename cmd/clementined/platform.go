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
	// platformLogLines bounds the log lines that wait to be written.
	platformLogLines = 4096
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = 5 * time.Second
	// memoryShare is the part of a process's memory limit above which collections become frequent.
	memoryShare = 0.7
	// runAuthority is how long an acknowledged ping lets an agent extend its worker's lease. It outlasts a cut
	// of 5.5 s and the links that are opened again after it, so that what runs behind the cut runs on.
	runAuthority = 7500 * time.Millisecond
	// runAuthorityMargin is what the coordinator waits beyond it.
	runAuthorityMargin = 300 * time.Millisecond
	// runLeaseTerm is the longest extension of a worker's lease at a time. It outlasts a restart of the agent.
	runLeaseTerm = 6 * time.Second
)

// platformProcess holds what both roles on the platform build from the platform's settings.
type platformProcess struct {
	settings *platform.Settings
	logger   *log.Logger
	queue    *telemetry.Queue
}

// newPlatformProcess reads the platform's settings and prepares the log.
func newPlatformProcess() (*platformProcess, error) {
	loaded, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	tuneCollector(int64(memoryShare * float64(loaded.MemoryBytes)))
	logger, queue, err := telemetry.NewLogger(telemetry.LogConfig{
		Level: "info", Format: "text", QueueLines: platformLogLines, Output: os.Stdout,
	})
	if err != nil {
		return nil, err
	}
	return &platformProcess{settings: loaded, logger: logger, queue: queue}, nil
}

// run runs the daemon and writes its log until the last line is out.
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

// followSettings reads the settings file again after each SIGHUP and from time to time, since it may
// also change without a signal, and hands the new settings to apply.
func (p *platformProcess) followSettings(ctx context.Context, apply func(*platform.Settings)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	current := p.settings
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		loaded, err := platform.LoadSettings()
		switch {
		case err != nil:
			p.logger.Error("settings not reloaded; the former ones stay in force", "error", err)
		case !reflect.DeepEqual(loaded, current):
			p.logger.Info("settings changed", "signalled", signalled, "store", loaded.StoreAddress, "worker", loaded.WorkerAddress)
			current = loaded
			apply(loaded)
		case signalled:
			p.logger.Info("settings reloaded without a change")
		}
	}
}

// listen opens a listener on the address.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// serveHTTP serves requests in the background. A server that fails ends the process with its cause.
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

// serveMetrics serves the process's metrics in the background.
func (p *platformProcess) serveMetrics(ctx context.Context, group *conc.WaitGroup) {
	listener, err := listen(p.settings.MetricsAddress)
	if err != nil {
		p.logger.Warn("metrics are not served", "error", err)
		return
	}
	server := telemetry.NewServer(telemetry.ServerConfig{Listener: listener, Ready: func() error { return nil }})
	group.Go(func() { _ = server.Run(ctx) })
}
