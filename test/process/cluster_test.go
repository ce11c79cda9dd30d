package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/standin/worker"
)

// Names and limits of a cluster.
const (
	service     = "intake"
	team        = "fleet-accounts"
	zoneBurnaby = "burnaby"
	zoneSurrey  = "surrey"
	callTimeout = 5 * time.Second
	// settleLimit bounds every wait for an outcome. It is far above the expected time, because the
	// machine may be busy; no test asserts a time below it except the zone rule.
	settleLimit = 60 * time.Second
)

// entryNode is one entry; its store and its links are reached through relays.
type entryNode struct {
	*program
	callers, operators, links string
	storeRelay, linkRelay     *relay
	client                    operatorv1.OperatorServiceClient
}

// workerNode is one worker VM: the stand-in and the agent.
type workerNode struct {
	name, zone, control string
	vm, agent           *program
	// archive holds the ground truth of stand-ins that were killed.
	archive        []execution
	archiveRequest map[string]int
}

// execution is one run of a task attempt on a worker.
type execution struct {
	worker.Execution
	worker *workerNode
}

// cluster is a store, three entries and four workers in two zones.
type cluster struct {
	t            *testing.T
	directory    string
	storeControl string
	store        *program
	entries      []*entryNode
	workers      []*workerNode
	tls          *authority
	mutex        sync.Mutex
}

// startCluster starts a cluster with a configuration and waits until all workers are live.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startClusterWith(t, nil)
}

func startClusterWith(t *testing.T, tls *authority) *cluster {
	t.Helper()
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	directory, err := os.MkdirTemp("", "clementine-cluster-")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, directory: directory, tls: tls}
	t.Cleanup(c.cleanup)
	storeAddress := freeAddress(t)
	c.storeControl = freeAddress(t)
	c.store = newProgram(directory, "store", "clementine-standin", "store", "--listen", storeAddress, "--control", c.storeControl)
	c.store.start(t)
	for index := range 3 {
		c.addEntry(fmt.Sprintf("entry-%d", index+1), []string{zoneBurnaby, zoneSurrey, zoneBurnaby}[index], storeAddress)
	}
	for _, name := range []string{"burnaby-1", "burnaby-2", "surrey-1", "surrey-2"} {
		c.addWorker(name, strings.Split(name, "-")[0])
	}
	c.configure()
	c.waitLive(4)
	if tls == nil {
		c.waitAnswered()
	}
	return c
}

// cleanup ends all processes and keeps the logs of a failed test.
func (c *cluster) cleanup() {
	for _, p := range c.programs() {
		p.kill()
	}
	if c.t.Failed() {
		c.t.Logf("logs kept in %s", c.directory)
		return
	}
	_ = os.RemoveAll(c.directory)
}

func (c *cluster) programs() []*program {
	programs := []*program{c.store}
	for _, e := range c.entries {
		programs = append(programs, e.program)
	}
	for _, w := range c.workers {
		programs = append(programs, w.agent, w.vm)
	}
	return programs
}

func (c *cluster) write(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.directory, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) tlsSettings() string {
	if c.tls == nil {
		return ""
	}
	return c.tls.settings(c.t, c.directory)
}

func (c *cluster) addEntry(name, zone, store string) {
	c.t.Helper()
	e := &entryNode{callers: freeAddress(c.t), operators: freeAddress(c.t), links: freeAddress(c.t)}
	// The store stand-in has no TLS of its own, so the relay in front of it ends TLS.
	e.storeRelay, e.linkRelay = newRelay(c.t, store, c.tls), newRelay(c.t, e.links, nil)
	path := c.write(name+".yaml", fmt.Sprintf(`role: entry
name: %s
region: demo
zone: %s
rack: %s-r1
listen: {callers: %q, operators: %q, links: %q, metrics: %q}
advertise: {links: %q}
store: {address: %q}
stop_timeout: 15s
%s`, name, zone, zone, e.callers, e.operators, e.links, freeAddress(c.t), e.linkRelay.address, e.storeRelay.address, c.tlsSettings()))
	e.program = newProgram(c.directory, name, "clementined", "entry", path)
	e.start(c.t)
	transport := insecure.NewCredentials()
	if c.tls != nil {
		transport = credentials.NewTLS(c.tls.client())
	}
	conn, err := grpc.NewClient(e.operators, grpc.WithTransportCredentials(transport))
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	e.client = operatorv1.NewOperatorServiceClient(conn)
	c.entries = append(c.entries, e)
}

func (c *cluster) addWorker(name, zone string) {
	c.t.Helper()
	runtime, announce := freeAddress(c.t), freeAddress(c.t)
	w := &workerNode{name: name, zone: zone, control: freeAddress(c.t), archiveRequest: map[string]int{}}
	w.vm = newProgram(c.directory, name+"-vm", "clementine-standin", "worker", "--name", name, "--service", service,
		"--runtime-listen", runtime, "--target-listen", freeAddress(c.t), "--control", w.control, "--agent", announce)
	var entries []string
	for _, e := range c.entries {
		entries = append(entries, fmt.Sprintf("%q", e.linkRelay.address))
	}
	path := c.write(name+".yaml", fmt.Sprintf(`role: agent
name: %s
region: demo
zone: %s
rack: %s-r1
listen: {targets: %q, metrics: %q}
entries: [%s]
runtime: {address: %q}
%s`, name, zone, zone, announce, freeAddress(c.t), strings.Join(entries, ", "), runtime, c.tlsSettings()))
	w.agent = newProgram(c.directory, name, "clementined", "agent", path)
	w.vm.start(c.t)
	w.agent.start(c.t)
	c.workers = append(c.workers, w)
}

func (c *cluster) configure() {
	c.t.Helper()
	document := &operatorv1.Configuration{
		Region: "demo", Entries: []string{"entry-1", "entry-2", "entry-3"},
		Zones: []*operatorv1.Zone{{Name: zoneBurnaby}, {Name: zoneSurrey}},
		Teams: []*operatorv1.Team{{Name: team, Weight: 1}},
		Services: []*operatorv1.Service{{
			Name: service, Team: team, Class: "intake-check", Timeout: durationpb.New(10 * time.Second),
			Size: &operatorv1.Quantity{MilliCpu: 100, MemoryBytes: 1 << 20},
		}},
		Weights: &operatorv1.Weights{TailLatency: 1, Throughput: 1, Evictions: 1, ZoneWork: 1},
	}
	id := uuid.NewString()
	c.eventually("the configuration is accepted", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := c.entries[0].client.ApplyConfiguration(ctx, &operatorv1.ApplyConfigurationRequest{
			RequestId: id, Configuration: document, Author: "test",
		})
		return err
	})
}

// eventually repeats a check until it returns nil.
func (c *cluster) eventually(what string, check func() error) {
	c.t.Helper()
	deadline := time.Now().Add(settleLimit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %s: %v", settleLimit, what, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// waitLive waits until every running entry sees the given number of live workers.
func (c *cluster) waitLive(count int, entries ...*entryNode) {
	c.t.Helper()
	if len(entries) == 0 {
		entries = c.entries
	}
	for _, e := range entries {
		c.eventually(fmt.Sprintf("%s sees %d live workers", e.name, count), func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			response, err := e.client.ListWorkers(ctx, &operatorv1.ListWorkersRequest{})
			if err != nil {
				return err
			}
			live := 0
			for _, w := range response.GetWorkers() {
				if w.GetState() == "live" {
					live++
				}
			}
			if live != count {
				return fmt.Errorf("%d live workers", live)
			}
			return nil
		})
	}
}

// waitAnswered waits until every entry answers a request.
func (c *cluster) waitAnswered() {
	c.t.Helper()
	for _, e := range c.entries {
		probe := newLoad(c, []*entryNode{e}, loadConfig{})
		c.eventually(e.name+" answers a request", func() error {
			if result := probe.callers[0].Send(); result.Outcome != 0 {
				return fmt.Errorf("%s, status %d", result.Outcome, result.Status)
			}
			return nil
		})
	}
}

// setStoreFaults switches the faults of the store.
func (c *cluster) setStoreFaults(faults kvstore.Faults) {
	c.t.Helper()
	c.put(c.storeControl, "/faults", faults)
}

func (c *cluster) put(address, path string, value any) {
	c.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("PUT %s%s: status %d", address, path, response.StatusCode)
	}
}

func getJSON[Value any](address, path string) (Value, error) {
	var value Value
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return value, err
	}
	return value, json.Unmarshal(data, &value)
}

// worker returns the worker with the name.
func (c *cluster) worker(name string) *workerNode {
	c.t.Helper()
	index := slices.IndexFunc(c.workers, func(w *workerNode) bool { return w.name == name })
	if index < 0 {
		c.t.Fatalf("no worker %q", name)
	}
	return c.workers[index]
}

// killVM kills the agent and then the stand-in, whose ground truth is kept with the end of all its
// executions at the time of the kill.
func (c *cluster) killVM(w *workerNode) {
	c.t.Helper()
	w.agent.kill()
	c.archive(w)
	w.vm.kill()
}

// archive keeps the ground truth of a stand-in that is about to end.
func (c *cluster) archive(w *workerNode) {
	c.t.Helper()
	state, target := c.truth(w)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, e := range state.Executions {
		if e.StoppedAt.IsZero() {
			e.StoppedAt, e.Ending = now, "killed"
		}
		w.archive = append(w.archive, execution{e, w})
	}
	for id, count := range target.Executions {
		w.archiveRequest[id] += count
	}
}

// truth returns the ground truth of a running stand-in.
func (c *cluster) truth(w *workerNode) (worker.RuntimeState, worker.TargetState) {
	c.t.Helper()
	state, err := getJSON[worker.RuntimeState](w.control, worker.PathRuntime)
	if err != nil {
		c.t.Fatal(err)
	}
	target, err := getJSON[worker.TargetState](w.control, worker.PathTarget)
	if err != nil {
		c.t.Fatal(err)
	}
	return state, target
}

// alive reports whether the stand-in of the worker runs.
func (w *workerNode) alive() bool { return w.vm.running() }

// executions returns all executions by task, in the order of their starts.
func (c *cluster) executions() map[string][]execution {
	c.t.Helper()
	byTask := map[string][]execution{}
	for _, w := range c.workers {
		all := slices.Clone(w.archive)
		if w.alive() {
			state, _ := c.truth(w)
			for _, e := range state.Executions {
				all = append(all, execution{e, w})
			}
		}
		for _, e := range all {
			byTask[e.TaskID] = append(byTask[e.TaskID], e)
		}
	}
	for _, list := range byTask {
		slices.SortFunc(list, func(a, b execution) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return byTask
}

// requestRuns returns how often each request id was run by all targets.
func (c *cluster) requestRuns() map[string]int {
	c.t.Helper()
	runs := map[string]int{}
	for _, w := range c.workers {
		for id, count := range w.archiveRequest {
			runs[id] += count
		}
		if w.alive() {
			_, target := c.truth(w)
			for id, count := range target.Executions {
				runs[id] += count
			}
		}
	}
	return runs
}

// checkNoOverlap fails if two executions of a task overlapped in time, or if a worker was given more
// than it can hold.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	for id, list := range c.executions() {
		for i := 1; i < len(list); i++ {
			previous := list[i-1]
			if previous.StoppedAt.IsZero() || list[i].StartedAt.Before(previous.StoppedAt) {
				c.t.Errorf("task %s ran twice at a time: attempt %d on %s until %s and attempt %d on %s from %s", id,
					previous.Attempt, previous.worker.name, previous.StoppedAt, list[i].Attempt, list[i].worker.name, list[i].StartedAt)
			}
		}
	}
	for _, w := range c.workers {
		if !w.alive() {
			continue
		}
		state, _ := c.truth(w)
		if !state.PeakSize.FitsIn(state.Capacity) {
			c.t.Errorf("worker %s was given %v of %v", w.name, state.PeakSize, state.Capacity)
		}
	}
}
