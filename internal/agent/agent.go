// Package agent is the process that runs beside a target. It alone admits work on its worker: it
// starts and ends tasks at the worker runtime, forwards requests to the local targets and states what
// became of them.
//
// A deterministic core decides (events and times in, actions out); the shells around it carry the
// actions out: links to the entries, calls of the runtime, requests to targets, and announcements.
package agent

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/link"
)

// eventQueueLength bounds the events that wait for the core. Their producers wait when it is full.
const eventQueueLength = 1024

// input is an event together with the link that it opens, if any.
type input struct {
	event event
	conn  link.Conn
}

// Agent is the agent daemon.
type Agent struct {
	config    Config
	core      *core
	inputs    chan input
	conns     map[linkID]link.Conn
	links     *linkDuty
	runtime   *runtimeDuty
	forwarder *forwarder
	announce  *announceDuty
	metrics   *gauges
	workers   conc.WaitGroup
}

// New returns an agent, or ErrConfig, or an error of the listener for target announcements.
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
	a.links = newLinkDuty(config.Dialer, config.Logger, a.post)
	a.runtime = &runtimeDuty{runtime: config.Runtime, post: a.post}
	if config.TargetListen == "" {
		return a, nil
	}
	duty, err := newAnnounceDuty(config.TargetListen, a.post)
	if err != nil {
		return nil, err
	}
	a.announce = duty
	return a, nil
}

// TargetAddress returns the address of the server for target announcements; empty if there is none.
func (a *Agent) TargetAddress() string {
	if a.announce == nil {
		return ""
	}
	return a.announce.listener.Addr().String()
}

// Run serves until the context ends and then stops gracefully: requests in progress are finished, and
// tasks keep running for the next agent. It returns nil after a graceful stop.
func (a *Agent) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer a.workers.Wait()
	defer cancel()
	defer a.closeConns()
	if a.announce != nil {
		a.workers.Go(a.announce.serve)
		defer a.announce.shutdown()
	}
	a.links.start(inner, &a.workers)
	a.links.connectSeeds(a.config.Entries)
	return a.loop(ctx, inner)
}

// loop passes events to the core and carries its actions out, one event at a time.
func (a *Agent) loop(outer, inner context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.process(inner, input{event: tick{}})
	stop := outer.Done()
	for !a.core.exited {
		select {
		case next := <-a.inputs:
			a.process(inner, next)
		case <-ticker.C:
			a.process(inner, input{event: tick{}})
			a.metrics.update(a.core)
		case <-stop:
			stop = nil
			a.process(inner, input{event: stopRequested{}})
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

// ErrStopped reports an event that was not taken because the agent has ended.
var ErrStopped = errors.New("agent: stopped")

// process passes one event to the core and carries out the resulting actions.
func (a *Agent) process(ctx context.Context, next input) {
	switch opened := next.event.(type) {
	case linkOpened:
		a.conns[opened.link] = next.conn
	case linkClosed:
		delete(a.conns, opened.link)
	}
	for _, action := range a.core.handle(time.Now(), next.event) {
		a.execute(ctx, action)
	}
}

// execute carries out one action. It does not block.
func (a *Agent) execute(ctx context.Context, next action) {
	switch next := next.(type) {
	case sendMessage:
		a.send(next)
	case closeLink:
		a.closeConn(next.link)
	case connectEntries:
		a.links.connectLearned(next.entries)
	case forwardRequest:
		a.forward(ctx, next)
	case attachRuntime:
		a.workers.Go(func() { a.runtime.attach(ctx) })
	case renewLease:
		a.workers.Go(func() { a.runtime.renew(ctx, next) })
	case listTasks:
		a.workers.Go(func() { a.runtime.list(ctx, next) })
	case callRuntime:
		a.workers.Go(func() { a.runtime.call(ctx, next) })
	case report:
		a.report(next.record)
	case exit:
	}
}

// forward runs a request in a goroutine of its own. Their number is bounded by the targets' slots.
func (a *Agent) forward(ctx context.Context, next forwardRequest) {
	client := a.forwarder.client(next.target.Address, next.connections)
	a.workers.Go(func() {
		result := forward(client, next)
		// An error means that the agent has ended, and then nobody waits for the outcome.
		_ = a.post(ctx, input{event: result})
	})
}

// closeConn ends a link; its goroutine reports the end to the core.
func (a *Agent) closeConn(id linkID) {
	if conn, ok := a.conns[id]; ok {
		conn.Close()
	}
}

// closeConns ends all links.
func (a *Agent) closeConns() {
	for _, conn := range a.conns {
		conn.Close()
	}
}
