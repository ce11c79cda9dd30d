package entry

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/telemetry"
)

// listeners holds the entry's open listeners.
type listeners struct {
	callers, operators, links, metrics net.Listener
}

// Run serves until the context ends, then stops gracefully: callers' requests in progress are
// finished first, then the shards and the registration are released, then the links end.
func (e *Entry) Run(ctx context.Context) error {
	open, err := e.openListeners()
	if err != nil {
		return err
	}
	// Each layer outlives the one that uses it: links and state, then tasks, then callers.
	lower, stopLower := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLower()
	middle, stopMiddle := context.WithCancel(lower)
	defer stopMiddle()
	// A failed listener ends the whole process, since the balancer sees only some of the ports.
	upper, stopUpper := context.WithCancel(ctx)
	defer stopUpper()

	lowerDuties := e.startLower(lower, stopUpper, open)
	middleDuties := e.startMiddle(middle, stopUpper, open)
	e.config.Logger.Info("entry started", "entry", e.config.Name, "callers", open.callers.Addr(),
		"operators", open.operators.Addr(), "links", open.links.Addr())
	served := e.serveCallers(upper, stopUpper, open.callers)

	stopMiddle()
	middleErr := middleDuties.Wait()
	waitOrDone(lower, hubDrainDelay)
	stopLower()
	lowerErr := lowerDuties.Wait()
	e.forwarder.Close()
	e.config.Logger.Info("entry stopped", "entry", e.config.Name)
	return firstFailure(served, middleErr, lowerErr)
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

// startLower starts the links, the configuration, the registration and the metrics.
func (e *Entry) startLower(ctx context.Context, fail func(), open *listeners) *pool.ContextPool {
	duties := pool.New().WithContext(ctx)
	e.startState(duties, fail)
	if e.config.Recorder != nil {
		start(duties, fail, e.config.Recorder.Run)
		start(duties, fail, e.record)
	}
	start(duties, fail, func(ctx context.Context) error {
		return serveUntilDone(ctx, func() error { return e.links.Serve(open.links, e.config.serverTLS()) }, e.links.Shutdown)
	})
	if open.metrics != nil {
		server := telemetry.NewServer(telemetry.ServerConfig{
			Listener: open.metrics, TLS: e.config.serverTLS(), Ready: e.ready,
		})
		start(duties, fail, server.Run)
	}
	return duties
}

// startMiddle starts the shards, the controller and the operators' server.
func (e *Entry) startMiddle(ctx context.Context, fail func(), open *listeners) *pool.ContextPool {
	duties := pool.New().WithContext(ctx)
	e.startControl(duties, fail)
	start(duties, fail, func(ctx context.Context) error { return e.operator.Serve(ctx, open.operators) })
	return duties
}

// serveCallers serves callers until the context ends and finishes the requests in progress.
func (e *Entry) serveCallers(ctx context.Context, fail func(), listener net.Listener) error {
	if config := e.config.serverTLS(); config != nil {
		listener = tls.NewListener(listener, config)
	}
	app := e.frontend.App()
	served := make(chan error, 1)
	go func() {
		served <- app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
		fail()
	}()
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.StopTimeout)
	defer cancel()
	err := e.frontend.Drain(drain)
	if err != nil {
		e.config.Logger.Warn("requests in progress at the end of the stop timeout", "error", err)
	}
	waitOrDone(drain, callerDrainDelay)
	if err := app.ShutdownWithContext(drain); err != nil {
		e.config.Logger.Warn("callers' server did not stop in time", "error", err)
	}
	select {
	case err := <-served:
		return errors.Wrap(err, "entry: serve callers")
	case <-drain.Done():
		return nil
	}
}

// startState starts the duties that follow the store and keep the links.
func (e *Entry) startState(duties *pool.ContextPool, fail func()) {
	start(duties, fail, e.follower.Run)
	start(duties, fail, e.member.Run)
	start(duties, fail, e.hub.Run)
}

// startControl starts the duties that drive tasks and requests.
func (e *Entry) startControl(duties *pool.ContextPool, fail func()) {
	start(duties, fail, e.manager.Run)
	start(duties, fail, e.controller.Run)
	start(duties, fail, e.frontend.Run)
}

// start runs a duty; its failure before the end of the context stops the entry.
func start(duties *pool.ContextPool, fail func(), duty func(context.Context) error) {
	duties.Go(func(ctx context.Context) error {
		err := duty(ctx)
		if ctx.Err() == nil {
			fail()
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

// firstFailure returns the first error that is not the end of a context.
func firstFailure(errs ...error) error {
	for _, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}
