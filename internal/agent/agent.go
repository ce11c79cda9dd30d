// Package agent implements the daemon that runs on each worker. It is the only component that admits
// work on its worker: it starts and ends tasks at the worker runtime, forwards requests to the local
// targets and reports their outcomes to the entries.
//
// The decisions are made by a deterministic core, which turns events into actions. The code around it
// does the I/O: links to the entries, runtime calls, requests to targets, and target announcements.
package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/link"
)

// eventQueueLength bounds the events that wait for the core. Producers block while the queue is full.
const eventQueueLength = 1024

// input is an event for the core. For linkOpened, conn is the connection of the link.
type input struct {
	event event
	conn  link.Conn
}

// Agent is the agent daemon of one worker. Run serves it once.
type Agent struct {
	config        Config
	core          *core
	inputs        chan input
	conns         map[linkID]link.Conn
	links         *linkManager
	runtime       *runtimeCaller
	forwarder     *forwarder
	announcements *announcementServer
	metrics       *gauges
	workers       conc.WaitGroup
}

// New returns an agent. It fails with ErrConfig, or if the listener for target announcements cannot be
// opened.
func New(config Config) (*Agent, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	a := &Agent{
		config: config,
		core: newCore(identity{
			name:        config.Name,
			region:      config.Region,
			zone:        config.Zone,
			rack:        config.Rack,
			incarnation: uuid.NewString(),
			limits:      config.Limits,
		}),
		inputs:    make(chan input, eventQueueLength),
		conns:     map[linkID]link.Conn{},
		forwarder: newForwarder(),
		metrics:   newGauges(),
	}
	a.links = newLinkManager(config.Dialer, config.Logger, a.post)
	a.runtime = &runtimeCaller{runtime: config.Runtime, post: a.post}
	if config.TargetListen == "" {
		return a, nil
	}
	server, err := newAnnouncementServer(config.TargetListen, config.Listen, a.post)
	if err != nil {
		return nil, err
	}
	a.announcements = server
	return a, nil
}

// TargetAddress returns the address of the server for target announcements, or an empty string if there
// is no server.
func (a *Agent) TargetAddress() string {
	if a.announcements == nil {
		return ""
	}
	return a.announcements.listener.Addr().String()
}

// Run serves until the context ends and then stops gracefully: requests in progress are finished, and
// tasks keep running for the next agent. It returns nil after a graceful stop.
func (a *Agent) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer a.workers.Wait()
	defer cancel()
	defer a.closeConns()
	if a.announcements != nil {
		a.workers.Go(a.announcements.serve)
		defer a.announcements.shutdown()
	}
	a.links.start(inner, &a.workers)
	a.links.dialSeeds(a.config.Entries)
	return a.runLoop(ctx, inner)
}

// runLoop passes events to the core and executes the resulting actions, one event at a time, until the
// planned stop is complete.
func (a *Agent) runLoop(outer, inner context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.processInput(inner, input{event: tick{}})
	stop := outer.Done()
	for !a.core.exited {
		select {
		case next := <-a.inputs:
			a.processInput(inner, next)
		case <-ticker.C:
			a.processInput(inner, input{event: tick{}})
			a.metrics.updateFromCore(a.core)
		case <-stop:
			stop = nil
			a.processInput(inner, input{event: stopRequested{}})
		}
	}
	return nil
}

// post queues an event for the core. It returns ErrStopped if the agent ends first.
func (a *Agent) post(ctx context.Context, next input) error {
	select {
	case a.inputs <- next:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ErrStopped)
	}
}

// ErrStopped reports an event that was not queued because the agent has stopped.
var ErrStopped = errors.New("agent: stopped")

// processInput passes one event to the core and executes the resulting actions.
func (a *Agent) processInput(ctx context.Context, next input) {
	switch opened := next.event.(type) {
	case linkOpened:
		a.conns[opened.link] = next.conn
	case linkClosed:
		delete(a.conns, opened.link)
	}
	for _, action := range a.core.handle(time.Now(), next.event) {
		a.executeAction(ctx, action)
	}
}

// executeAction executes one action. It does not block.
func (a *Agent) executeAction(ctx context.Context, next action) {
	switch next := next.(type) {
	case sendMessage:
		a.sendOnLink(next)
	case closeLink:
		a.closeConn(next.link)
	case connectEntries:
		a.links.dialDiscovered(next.entries)
	case forwardRequest:
		a.startForward(ctx, next)
	case attachRuntime:
		a.workers.Go(func() { a.runtime.callAttach(ctx) })
	case renewLease:
		a.workers.Go(func() { a.runtime.callRenew(ctx, next) })
	case listTasks:
		a.workers.Go(func() { a.runtime.callList(ctx, next) })
	case callRuntime:
		a.workers.Go(func() { a.runtime.callAttempt(ctx, next) })
	case logRecord:
		a.writeLogRecord(next.record)
	case exit:
	}
}

// startForward forwards a request in a new goroutine. The targets' slots bound the number of goroutines.
func (a *Agent) startForward(ctx context.Context, next forwardRequest) {
	client := a.forwarder.client(next.target.Address, next.connections)
	a.workers.Go(func() {
		result := forwardToTarget(client, next)
		// An error means that the agent has stopped; then the outcome is not needed any more.
		_ = a.post(ctx, input{event: result})
	})
}

// closeConn closes a link; the goroutine that serves it reports linkClosed to the core.
func (a *Agent) closeConn(id linkID) {
	if conn, ok := a.conns[id]; ok {
		conn.Close()
	}
}

// closeConns closes all links when the agent stops.
func (a *Agent) closeConns() {
	for _, conn := range a.conns {
		conn.Close()
	}
}
