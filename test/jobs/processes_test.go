package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"clementineflow/internal/backlog"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/gateway"
	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/relay"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// entryProcess is one entry, which can be killed and restarted.
type entryProcess struct {
	region  *region
	name    string
	faulty  *kvstore.Faulty
	relay   *relay.Relay
	gateway *gateway.Gateway
	local   *coordinator.Coordinator
	cancel  context.CancelFunc
	done    chan struct{}
}

// agentProcess is one agent with the worker beside it.
type agentProcess struct {
	region *region
	name   string
	zone   string
	worker *jobworker.Worker
	// runner is the agent's current process.
	runner atomic.Pointer[runner.Agent]
	cancel context.CancelFunc
	done   chan struct{}
}

// start starts a new incarnation of the entry; the seed drives its store faults.
func (e *entryProcess) start(seed uint64) {
	r := e.region
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.done = cancel, make(chan struct{})
	e.faulty = kvstore.NewFaulty(r.memory, seed)
	view := operatorconfig.NewView(testSource{}, zones, r.logger)
	dialer := r.network.dialer(e.name)
	monitor := gateway.NewStoreMonitor(r.logger)
	token := &link.Token{}
	e.relay = relay.New(relay.Config{
		Name: e.name, Address: e.name, Strength: e.strength(), Backlog: r.backlog, Token: token, Dialer: dialer, Logger: r.logger.With("entry", e.name),
		Store: store.Observe(e.faulty, testSource{}.Prefix(), monitor),
	})
	admission := backlog.NewAdmission(r.backlog)
	e.local = coordinator.New(coordinator.Config{
		Backlog: r.backlog, Admission: admission,
		Name: e.name, Address: e.name, Strength: e.strength(), Peers: e.relay, Store: e.relay, Dialer: dialer, View: view, Now: r.elapsed,
		Logger: r.logger.With("entry", e.name),
		Timing: planner.Timing{Authority: authority, Margin: authorityMargin, StatusPeriod: time.Hour},
	})
	peer := gateway.NewPeer(e.name, e.local, e.relay, dialer, r.logger)
	peer.Authenticate(token)
	peer.ShareSuspicions(monitor)
	e.gateway = gateway.New(gateway.Config{
		Store: e.relay, View: view, Coordinator: peer, Admission: admission, Monitor: monitor, Logger: r.logger,
	})
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: e.relay.Direct(), Prefix: testSource{}.Prefix(), Wait: time.Second, Handle: view.Apply, Logger: r.logger,
	})
	r.network.listen(e.name, func(conn link.Conn) { peer.Serve(ctx, conn) })
	done := e.done
	go func() {
		defer close(done)
		finished := make(chan struct{}, 4)
		for _, run := range []func(context.Context){mirror.Run, e.local.Run, peer.Run, e.relay.Run} {
			go func() { run(ctx); finished <- struct{}{} }()
		}
		for range 4 {
			<-finished
		}
	}()
}

// strength returns the entry's share of a processor: entry-0 is the strongest.
func (e *entryProcess) strength() float64 {
	if e.name == "entry-0" {
		return strongShare
	}
	return weakShare
}

// kill stops the entry abruptly: its store calls fail first, so it can't resign or hand over its lease.
func (e *entryProcess) kill() {
	if e.cancel == nil {
		return
	}
	e.faulty.SetFaults(kvstore.Faults{Down: true})
	e.region.network.listen(e.name, nil)
	e.cancel()
	<-e.done
	e.cancel = nil
}

// shutDown stops the entry as planned.
func (e *entryProcess) shutDown() {
	if e.cancel == nil {
		return
	}
	e.cancel()
	<-e.done
	e.region.network.listen(e.name, nil)
	e.cancel = nil
}

// start starts the agent and registers it.
func (a *agentProcess) start() {
	r := a.region
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel, a.done = cancel, make(chan struct{})
	agent := runner.New(runner.Config{
		Name: a.name, Worker: a.worker, LeaseTerm: leaseTerm, Authority: authority, Now: r.elapsed,
		Logger: r.logger.With("agent", a.name),
	})
	a.runner.Store(agent)
	r.network.listen(a.name, func(conn link.Conn) { agent.ServeLink(ctx, conn) })
	registration := coordinator.Registration{
		Name: a.name, Address: a.name, Store: r.memory, Reachable: agent.HasAuthority, Logger: r.logger.With("agent", a.name),
	}
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		registration.Run(ctx)
	}()
	done := a.done
	go func() {
		defer close(done)
		reported := make(chan struct{})
		go func() {
			defer close(reported)
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				if d, up := a.worker.Describe(a.zone, sequence); up {
					agent.UpdateStatus(d)
				}
				sleep(ctx, reportInterval)
			}
		}()
		agent.Run(ctx)
		<-reported
		<-registered
	}()
}

// kill stops the agent; its worker keeps running under its lease.
func (a *agentProcess) kill() {
	if a.cancel == nil {
		return
	}
	a.region.network.listen(a.name, nil)
	a.cancel()
	<-a.done
	a.cancel = nil
}

// deliverLeave passes a leave call of the worker to the agent.
func (a *agentProcess) deliverLeave() { a.runner.Load().HandleWorkerLeft("worker-" + a.name) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
