package entry

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/frontend"
	"clementineflow/internal/ingress"
	"clementineflow/internal/link"
	"clementineflow/internal/telemetry"
)

// listeners holds the entry's open listeners.
type listeners struct {
	callers, operators, links, metrics net.Listener
}

// Run serves until the context ends or a server fails, then stops gracefully: it finishes callers' requests
// in progress, then releases the shards, then stops the links and removes the registration. It returns the
// first error other than context.Canceled.
func (e *Entry) Run(ctx context.Context) error {
	open, err := e.openListeners()
	if err != nil {
		return err
	}
	// Layers stop in reverse order of dependency: callers first, then tasks, then links and state.
	stateCtx, stopState := context.WithCancel(context.WithoutCancel(ctx))
	defer stopState()
	controlCtx, stopControl := context.WithCancel(stateCtx)
	defer stopControl()
	// A failed listener stops the whole process, since the load balancer probes only some of the ports.
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()

	stateGroup := e.startStateAndLinks(stateCtx, stopCallers, open)
	controlGroup := e.startControlAndOperators(controlCtx, stopCallers, open)
	e.config.Logger.Info("entry started", "entry", e.config.Name, "callers", open.callers.Addr(),
		"operators", open.operators.Addr(), "links", open.links.Addr())
	served := e.serveCallers(callerCtx, stopCallers, open.callers)

	stopControl()
	controlErr := controlGroup.Wait()
	waitOrDone(stateCtx, linkDrainDelay)
	stopState()
	stateErr := stateGroup.Wait()
	e.forwarder.Close()
	e.config.Logger.Info("entry stopped", "entry", e.config.Name)
	return firstError(served, controlErr, stateErr)
}

func (e *Entry) openListeners() (*listeners, error) {
	var open listeners
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&open.callers, e.config.Callers},
		{&open.operators, e.config.Operators},
		{&open.links, e.config.Links},
		{&open.metrics, e.config.Metrics},
	} {
		if each.address == "" {
			continue
		}
		listener, err := e.listen(each.address)
		if err != nil {
			return nil, err
		}
		*each.listener = listener
	}
	return &open, nil
}

// startStateAndLinks starts the modules that use the store, the recorder, the link server and the metrics
// server.
func (e *Entry) startStateAndLinks(ctx context.Context, stop func(), open *listeners) *pool.ContextPool {
	group := pool.New().WithContext(ctx)
	e.startState(group, stop)
	if e.config.Recorder != nil {
		start(group, stop, e.config.Recorder.Run)
		start(group, stop, e.recordState)
	}
	links := e.boundLinks(open.links)
	e.links.Limit(link.Limits{
		Listener: links, FirstMessageBytes: firstMessageBytes, CountQueued: e.config.Memory > 0,
	})
	start(group, stop, func(ctx context.Context) error {
		return serveUntilDone(ctx, func() error { return e.links.Serve(links, e.config.serverTLS()) }, e.links.Shutdown)
	})
	if open.metrics != nil {
		server := telemetry.NewServer(telemetry.ServerConfig{
			Listener: e.boundMetrics(open.metrics), TLS: e.config.serverTLS(), Ready: e.ready,
		})
		start(group, stop, server.Run)
	}
	return group
}

// startControlAndOperators starts the shard manager, the controller, the frontend and the operator server.
func (e *Entry) startControlAndOperators(ctx context.Context, stop func(), open *listeners) *pool.ContextPool {
	group := pool.New().WithContext(ctx)
	e.startControl(group, stop)
	start(group, stop, func(ctx context.Context) error { return e.operator.Serve(ctx, e.boundOperators(open.operators)) })
	return group
}

// serveCallers serves callers until the context ends, then drains the requests in progress.
func (e *Entry) serveCallers(ctx context.Context, stop func(), listener net.Listener) error {
	app := e.frontend.App()
	listener = e.boundCallers(listener)
	if bounded, ok := listener.(*ingress.Listener); ok && bounded.CountsConns() {
		app.Server().WriteTimeout = limitedWriteTimeout
		bounded.Guard(app.Server(), func() int { return frontend.MaxBodyBytes })
	}
	if config := e.config.serverTLS(); config != nil {
		listener = tls.NewListener(listener, config)
	}
	served := make(chan error, 1)
	go func() {
		served <- app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
		stop()
	}()
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.StopTimeout)
	defer cancel()
	err := e.frontend.Drain(drain)
	if err != nil {
		e.config.Logger.Warn("stop timeout reached with requests still in progress", "error", err)
	}
	waitOrDone(drain, callerDrainDelay)
	if err := app.ShutdownWithContext(drain); err != nil {
		e.config.Logger.Warn("caller server did not stop within the stop timeout", "error", err)
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "entry: serve callers")
	case <-drain.Done():
		return nil
	}
}

// startState starts the configuration follower, the membership and the hub.
func (e *Entry) startState(group *pool.ContextPool, stop func()) {
	start(group, stop, e.follower.Run)
	start(group, stop, e.member.Run)
	start(group, stop, e.hub.Run)
}

// startControl starts the shard manager, the controller and the frontend.
func (e *Entry) startControl(group *pool.ContextPool, stop func()) {
	start(group, stop, e.manager.Run)
	start(group, stop, e.controller.Run)
	start(group, stop, e.frontend.Run)
}

// start runs a function in the group and stops the entry if it returns before the context ends.
func start(group *pool.ContextPool, stop func(), run func(context.Context) error) {
	group.Go(func(ctx context.Context) error {
		err := run(ctx)
		if ctx.Err() == nil {
			stop()
		}
		return err
	})
}

// serveUntilDone runs a blocking server and shuts it down when the context ends.
func serveUntilDone(ctx context.Context, serve, shutdown func() error) error {
	served := make(chan error, 1)
	go func() { served <- serve() }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		return shutdown()
	}
}

// firstError returns the first error that is not context.Canceled.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}
