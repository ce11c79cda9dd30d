// Package jobs proves the promises about jobs of steps: whole regions of entries, agents and workers in
// one process and in virtual time, with failures injected by a seed.
package jobs

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/link"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/relay"
	"clementineflow/internal/resource"
	"clementineflow/internal/runner"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// Times of the region, those of the users' platform.
const (
	authority      = 7500 * time.Millisecond
	authoritySlack = 300 * time.Millisecond
	leaseTerm      = 6 * time.Second
	reportInterval = 1500 * time.Millisecond
)

// Shares of a processor of the entries.
const (
	strongShare = 0.8
	weakShare   = 0.2
)

var zones = []string{"north", "south"}

// droppedQueue is the value of a configuration without a queue.
const droppedQueue = "2 without the queue"

// source reads a configuration of one queue from a value like "3" (the version).
type source struct{}

func (source) Prefix() string                   { return "op/" }
func (source) ConfigurationKey() string         { return "op/configuration" }
func (source) ZoneKey(zone string) string       { return "op/zone/" + zone }
func (source) ZoneOf(key string) (string, bool) { return strings.CutPrefix(key, "op/zone/") }
func (source) Decode(value []byte) (*operatorconfig.Config, error) {
	config := &operatorconfig.Config{Queues: []operatorconfig.Queue{{
		Name: "queue", Host: "host", Prefix: "/queue/", Service: "service", MaxAttempts: 3, SlackFactor: 2,
	}}}
	if string(value) == droppedQueue {
		config.Queues = nil
	}
	_, err := fmt.Sscan(string(value), &config.Version)
	config.Index()
	return config, err
}

// trace writes the log of all processes of a region to standard error.
var trace = flag.Bool("trace", false, "write the log of all processes")

func newLogger() *log.Logger {
	if !*trace {
		return log.New(io.Discard)
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level: log.DebugLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "04:05.000",
	})
}

// region is a whole region in one process.
type region struct {
	t       *testing.T
	memory  *kvstore.Memory
	network *network
	ledger  *jobworker.EventRecorder
	logger  *log.Logger
	entries []*entryProcess
	agents  []*agentProcess
	work    func(task string) jobworker.Work
	began   time.Time
}

// entryProcess is one entry, which can be killed and started.
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
	cancel context.CancelFunc
	done   chan struct{}
}

func newRegion(t *testing.T, entries, agents int, rate float64) *region {
	return newRegionWithLog(t, entries, agents, rate, newLogger())
}

// newRegionWithLog returns a region whose processes write to the log.
func newRegionWithLog(t *testing.T, entries, agents int, rate float64, logger *log.Logger) *region {
	r := &region{
		t: t, memory: kvstore.NewMemory(), network: newNetwork(), ledger: jobworker.NewEventRecorder(),
		logger: logger, began: time.Now(),
		work: func(string) jobworker.Work {
			return jobworker.Work{Duration: 700 * time.Millisecond, Need: resource.Quantity{MilliCPU: 1000}}
		},
	}
	r.configure("1")
	for i := range agents {
		a := &agentProcess{region: r, name: fmt.Sprintf("agent-%d", i), zone: zones[i%len(zones)]}
		r.ledger.ZoneOf["worker-"+a.name] = a.zone
		a.worker = jobworker.New(jobworker.Config{
			ID: "worker-" + a.name, Capacity: resource.Quantity{MilliCPU: 4000}, ClockRate: rate,
			Work: func(task string) jobworker.Work { return r.work(task) }, Observer: r.ledger,
		})
		r.agents = append(r.agents, a)
		a.start()
	}
	for i := range entries {
		e := &entryProcess{region: r, name: fmt.Sprintf("entry-%d", i)}
		r.entries = append(r.entries, e)
		e.start(uint64(i))
	}
	return r
}

// stop ends all processes, so that no goroutine outlives the test.
func (r *region) stop() {
	for _, e := range r.entries {
		e.kill()
	}
	for _, a := range r.agents {
		a.kill()
		a.worker.Crash()
	}
}

func (r *region) now() time.Duration { return time.Since(r.began) }

// configure writes a version of the configuration, as the operator does.
func (r *region) configure(version string) {
	r.put(source{}.ConfigurationKey(), version)
}

func (r *region) put(key, value string) {
	_, err := r.memory.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
	if err != nil {
		r.t.Fatal(err)
	}
}

// setZoneOut takes a zone out of service, or back.
func (r *region) setZoneOut(zone string, out bool) {
	r.ledger.Mu.Lock()
	defer r.ledger.Mu.Unlock()
	key := source{}.ZoneKey(zone)
	if out {
		r.put(key, "{}")
		r.ledger.ZonesOut[zone] = time.Now()
		return
	}
	delete(r.ledger.ZonesOut, zone)
	if _, err := r.memory.Commit(context.Background(), store.Transaction{Deletes: []string{key}}); err != nil {
		r.t.Fatal(err)
	}
}

// start starts the entry.
func (e *entryProcess) start(seed uint64) {
	r := e.region
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.done = cancel, make(chan struct{})
	e.faulty = kvstore.NewFaulty(r.memory, seed)
	view := operatorconfig.NewView(source{}, zones, r.logger)
	dialer := r.network.dialer(e.name)
	e.relay = relay.New(relay.Config{
		Name: e.name, Address: e.name, Strength: e.strength(), Store: e.faulty, Dialer: dialer, Logger: r.logger.With("entry", e.name),
	})
	e.local = coordinator.New(coordinator.Config{
		Name: e.name, Address: e.name, Strength: e.strength(), Peers: e.relay, Store: e.relay, Dialer: dialer, View: view, Now: r.now,
		Logger: r.logger.With("entry", e.name),
		Timing: planner.Timing{Authority: authority, Margin: authoritySlack, StatusPeriod: time.Hour},
	})
	peer := gateway.NewPeer(e.name, e.local, e.relay, dialer, r.logger)
	e.gateway = gateway.New(gateway.Config{Store: e.relay, View: view, Coordinator: peer, Logger: r.logger})
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: e.relay.Direct(), Prefix: source{}.Prefix(), Wait: time.Second, Handle: view.Apply, Logger: r.logger,
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

// kill ends the entry without a word: it can't hand over what it held.
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

// start starts the agent and registers it.
func (a *agentProcess) start() {
	r := a.region
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel, a.done = cancel, make(chan struct{})
	agent := runner.New(runner.Config{
		Name: a.name, Worker: a.worker, LeaseTerm: leaseTerm, Authority: authority, Now: r.now,
		Logger: r.logger.With("agent", a.name),
	})
	r.network.listen(a.name, func(conn link.Conn) { agent.ServeLink(ctx, conn) })
	value, err := coordinator.EncodeAgentRecord(&coordinator.AgentRecord{Address: a.name})
	if err != nil {
		r.t.Fatal(err)
	}
	r.put(coordinator.AgentKey(a.name), string(value))
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
	}()
}

// kill ends the agent; its worker runs on under its lease.
func (a *agentProcess) kill() {
	if a.cancel == nil {
		return
	}
	a.region.network.listen(a.name, nil)
	a.cancel()
	<-a.done
	a.cancel = nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// spec returns a job of steps in a row, each with the number of tasks.
func spec(id string, tasks ...int) *job.Spec {
	s := &job.Spec{ID: id, Payload: "work of " + id}
	for i, count := range tasks {
		step := job.Step{Count: count, Need: resource.Quantity{MilliCPU: 1000}, Checkpoints: i%2 == 0}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// submit hands a job in at the entry and returns the answer.
func (r *region) submit(e *entryProcess, s *job.Spec) gateway.Outcome {
	r.ledger.Mu.Lock()
	r.ledger.Specs[s.ID] = s
	r.ledger.Mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return e.gateway.Submit(ctx, "host", "/queue/"+s.ID, s).Outcome
}

// state asks the entry for the state of a job.
func (r *region) state(e *entryProcess, id string) (job.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return e.gateway.State(ctx, id)
}

// cancel cancels a job at the entry.
func (r *region) cancel(e *entryProcess, id string) gateway.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	outcome := e.gateway.Cancel(ctx, id).Outcome
	if outcome == gateway.Accepted {
		r.ledger.Mu.Lock()
		r.ledger.Cancelled[id] = time.Now()
		r.ledger.Mu.Unlock()
	}
	return outcome
}

// check fails the test if a promise was broken.
func (r *region) check() {
	r.t.Helper()
	r.ledger.Mu.Lock()
	defer r.ledger.Mu.Unlock()
	for _, broken := range r.ledger.Violations {
		r.t.Error(broken)
	}
}
