package entry

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/agent"
	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/standin/worker"
	"clementineflow/internal/wire"
)

const historyRegion = "r"

var workerCapacity = resource.Quantity{MilliCPU: 4000, MemoryBytes: 4 << 30}

// member is a named entry with its current incarnation.
type member struct {
	name    string
	store   *kvstore.Faulty
	process *process
	stop    context.CancelFunc

	mutex sync.Mutex
	entry *Entry
	ctx   context.Context
}

// current returns the current incarnation and its context, which ends when the incarnation stops.
func (m *member) current() (*Entry, context.Context) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.entry, m.ctx
}

func (m *member) address() string { return m.name + ":1" }

// vm is one worker VM with its current runtime and agent.
type vm struct {
	name, zone string
	process    *process
	stop       context.CancelFunc
	// runtime is nil between two boots.
	runtime *worker.Runtime
	stopVM  context.CancelFunc
	// faults holds the faults injected into the runtime, so that they also apply after a reboot.
	faults worker.Faults
	// previousStates holds the final states of replaced runtimes.
	previousStates []worker.RuntimeState
}

// cluster is a set of entries and worker VMs that share one store and one network.
type cluster struct {
	t       testing.TB
	memory  *kvstore.Memory
	network *network
	output  io.Writer
	members []*member
	vms     []*vm
	group   sync.WaitGroup
}

func newCluster(t testing.TB, entries, workers int, seed uint64, output io.Writer) *cluster {
	c := &cluster{t: t, memory: kvstore.NewMemory(), network: newNetwork(), output: output}
	document := &configuration.Document{
		Revision: 1, Region: historyRegion, CommitID: "first",
		Zones:   []configuration.Zone{{Name: "z0"}, {Name: "z1"}},
		Teams:   []configuration.Team{{Name: "team", Weight: 1}},
		Changes: []configuration.Change{{Revision: 1, RequestID: "first"}},
	}
	for i := range entries {
		name := fmt.Sprintf("e%d", i+1)
		document.Entries = append(document.Entries, name)
		c.members = append(c.members, &member{name: name, store: kvstore.NewFaulty(c.memory, seed+uint64(i))})
	}
	data, err := wire.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.memory.CompareAndSwap(t.Context(), configuration.Key(historyRegion), 0, data, 0); err != nil {
		t.Fatal(err)
	}
	for _, m := range c.members {
		c.startEntry(m)
	}
	for i := range workers {
		v := &vm{name: fmt.Sprintf("w%d", i+1), zone: fmt.Sprintf("z%d", i%2)}
		c.vms = append(c.vms, v)
		c.startVM(v)
	}
	return c
}

func (c *cluster) logger(name string) *log.Logger {
	return log.NewWithOptions(c.output, log.Options{
		Level: log.InfoLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true,
		TimeFunction: log.NowUTC, TimeFormat: time.RFC3339Nano, Prefix: name,
	})
}

// startEntry starts a new incarnation without any state of the previous one.
func (c *cluster) startEntry(m *member) {
	m.process = newProcess(m.name)
	ctx, stop := context.WithCancel(context.Background())
	entry, err := newWithoutServers(Config{
		Name: m.name, Region: historyRegion, Zone: "z0", AdvertisedLinks: m.address(),
		Store:  processStore{m.store, m.process},
		Dialer: dialer{c.network, m.process}, Logger: c.logger(m.name),
	})
	if err != nil {
		stop()
		c.t.Fatal(err)
	}
	m.mutex.Lock()
	m.entry, m.ctx, m.stop = entry, ctx, stop
	m.mutex.Unlock()
	c.network.listen(m.address(), server{m.process, entry.hub.Serve})
	group := pool.New().WithContext(ctx)
	failed := func() { c.t.Errorf("a background function of entry %s has ended", m.name) }
	entry.startState(group, failed)
	entry.startControl(group, failed)
	c.group.Go(func() { _ = group.Wait() }) // a failure is reported above
}

// stopEntry stops an incarnation abruptly: it releases neither its shards nor its registration.
func (c *cluster) stopEntry(m *member) {
	m.process.stop()
	m.stop()
}

// startVM starts a worker VM with a new boot and its agent.
func (c *cluster) startVM(v *vm) {
	v.runtime = worker.NewRuntime(worker.RuntimeConfig{Capacity: workerCapacity})
	v.runtime.SetFaults(v.faults)
	ctx, stop := context.WithCancel(context.Background())
	v.stopVM = stop
	running := v.runtime
	c.group.Go(func() { _ = running.Run(ctx) }) // it ends without an error
	c.startAgent(v)
}

// stopVM stops a VM with its agent and all its tasks.
func (c *cluster) stopVM(v *vm) {
	c.stopAgent(v)
	state := v.runtime.State()
	for i := range state.Executions {
		if state.Executions[i].StoppedAt.IsZero() {
			state.Executions[i].StoppedAt, state.Executions[i].Ending = time.Now(), "vm"
		}
	}
	v.previousStates = append(v.previousStates, state)
	v.stopVM()
	v.runtime = nil
}

// states returns the records of all runtimes that the VM has had.
func (v *vm) states() []worker.RuntimeState {
	states := slices.Clone(v.previousStates)
	if v.runtime != nil {
		states = append(states, v.runtime.State())
	}
	return states
}

func (c *cluster) startAgent(v *vm) {
	v.process = newProcess(v.name)
	var addresses []string
	for _, m := range c.members {
		addresses = append(addresses, m.address())
	}
	daemon, err := agent.New(agent.Config{
		Name: v.name, Region: historyRegion, Zone: v.zone, Rack: v.name, Entries: addresses,
		Dialer: dialer{c.network, v.process}, Runtime: processRuntime{v.runtime, v.process}, Logger: c.logger(v.name),
	})
	if err != nil {
		c.t.Error(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	c.group.Go(func() { _ = daemon.Run(ctx) }) // it ends without an error
}

// stopAgent stops an agent abruptly; its tasks keep running in the runtime.
func (c *cluster) stopAgent(v *vm) {
	v.process.stop()
	v.stop()
}

// close stops everything and waits for its goroutines.
func (c *cluster) close() {
	for _, v := range c.vms {
		c.stopVM(v)
	}
	for _, m := range c.members {
		c.stopEntry(m)
	}
	c.group.Wait()
	c.network.group.Wait()
}

// document returns the configuration document from the store.
func (c *cluster) document() *configuration.Document {
	value, err := c.memory.Get(context.Background(), configuration.Key(historyRegion))
	if err != nil {
		c.t.Fatal(err)
	}
	document, err := wire.Unmarshal[configuration.Document](value.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return document
}
