// Package jobs tests the guarantees about jobs of steps. Each test runs a whole region of entries, agents and
// workers in one process and in virtual time; faults are injected from a seed.
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

	"clementineflow/internal/backlog"
	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// Timing of the region, the same as on the users' platform.
const (
	authority       = 7500 * time.Millisecond
	authorityMargin = 300 * time.Millisecond
	leaseTerm       = 6 * time.Second
	reportInterval  = 1500 * time.Millisecond
	// listedEnds is the number of ends that a worker lists at a time. It is small, so that lists are cut off.
	listedEnds = 3
)

// Processor shares of the entries.
const (
	strongShare = 0.8
	weakShare   = 0.2
)

// defaultBacklog is the memory that entries have for stored jobs, in bytes. No history comes near it.
const defaultBacklog = 64 << 20

var zones = []string{"north", "south"}

// configWithoutQueue is the value of a configuration without a queue.
const configWithoutQueue = "2 without the queue"

// testSource implements operatorconfig.Source with a configuration of one queue; the value is its version, like "3".
type testSource struct{}

func (testSource) Prefix() string                   { return "op/" }
func (testSource) ConfigurationKey() string         { return "op/configuration" }
func (testSource) ZoneKey(zone string) string       { return "op/zone/" + zone }
func (testSource) ZoneOf(key string) (string, bool) { return strings.CutPrefix(key, "op/zone/") }
func (testSource) Decode(value []byte) (*operatorconfig.Config, error) {
	config := &operatorconfig.Config{Queues: []operatorconfig.Queue{{
		Name: "queue", Host: "host", Prefix: "/queue/", Service: "service", MaxAttempts: 3, SlackFactor: 2,
	}}}
	if string(value) == configWithoutQueue {
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

// region is a region of entries, agents and workers in one process.
type region struct {
	t        *testing.T
	memory   *kvstore.Memory
	network  *network
	recorder *jobworker.EventRecorder
	logger   *log.Logger
	entries  []*entryProcess
	agents   []*agentProcess
	// backlog is the memory that entries started from now on have for stored jobs.
	backlog   backlog.Limit
	work      func(task string) jobworker.Work
	startedAt time.Time
}

func newRegion(t *testing.T, entries, agents int, rate float64) *region {
	return newRegionWithLog(t, entries, agents, rate, newLogger())
}

// newRegionWithLog returns a region whose processes write to the log.
func newRegionWithLog(t *testing.T, entries, agents int, rate float64, logger *log.Logger) *region {
	return newRegionOn(t, newNetwork(), entries, agents, rate, logger)
}

// newRegionOn returns a region whose processes are linked by the network.
func newRegionOn(t *testing.T, n *network, entries, agents int, rate float64, logger *log.Logger) *region {
	r := &region{
		t: t, memory: kvstore.NewMemory(), network: n, recorder: jobworker.NewEventRecorder(),
		logger: logger, startedAt: time.Now(), backlog: defaultBacklog,
		work: func(string) jobworker.Work {
			return jobworker.Work{Duration: 700 * time.Millisecond, Need: resource.Quantity{MilliCPU: 1000}}
		},
	}
	r.configure("1")
	for i := range agents {
		a := &agentProcess{region: r, name: fmt.Sprintf("agent-%d", i), zone: zones[i%len(zones)]}
		r.recorder.ZoneOf["worker-"+a.name] = a.zone
		a.worker = jobworker.New(jobworker.Config{
			ID: "worker-" + a.name, Capacity: resource.Quantity{MilliCPU: 4000}, ClockRate: rate, MaxListedEnds: listedEnds,
			Work: func(task string) jobworker.Work { return r.work(task) }, Observer: r.recorder,
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
	// Reads of a suspect store that the entries have begun end within a second.
	time.Sleep(time.Second)
}

func (r *region) elapsed() time.Duration { return time.Since(r.startedAt) }

// configure writes a version of the configuration, as the operator does.
func (r *region) configure(version string) {
	r.put(testSource{}.ConfigurationKey(), version)
}

func (r *region) put(key, value string) {
	_, err := r.memory.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
	if err != nil {
		r.t.Fatal(err)
	}
}

// setZoneOutOfService takes a zone out of service or puts it back into service.
func (r *region) setZoneOutOfService(zone string, out bool) {
	r.recorder.Mu.Lock()
	defer r.recorder.Mu.Unlock()
	key := testSource{}.ZoneKey(zone)
	if out {
		r.put(key, "{}")
		r.recorder.ZonesOut[zone] = time.Now()
		return
	}
	delete(r.recorder.ZonesOut, zone)
	if _, err := r.memory.Commit(context.Background(), store.Transaction{Deletes: []string{key}}); err != nil {
		r.t.Fatal(err)
	}
}

// newSpec returns a job of consecutive steps; tasks holds the number of tasks of each step.
func newSpec(id string, tasks ...int) *job.Spec {
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

// submit submits a job to the entry and returns the outcome.
func (r *region) submit(e *entryProcess, s *job.Spec) gateway.Outcome {
	r.recorder.Mu.Lock()
	r.recorder.Specs[s.ID] = s
	r.recorder.Mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return e.gateway.Submit(ctx, "host", "/queue/"+s.ID, s).Outcome
}

// state queries the entry for the state of a job.
func (r *region) state(e *entryProcess, id string) (job.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return e.gateway.State(ctx, id)
}

// cancel requests the cancellation of a job at the entry and returns the outcome.
func (r *region) cancel(e *entryProcess, id string) gateway.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	outcome := e.gateway.Cancel(ctx, id).Outcome
	if outcome == gateway.Accepted || outcome == gateway.NoJob {
		r.recorder.Mu.Lock()
		r.recorder.Cancelled[id] = time.Now()
		r.recorder.Mu.Unlock()
	}
	return outcome
}

// checkGuarantees fails the test if the recorder found a broken guarantee.
func (r *region) checkGuarantees() {
	r.t.Helper()
	r.recorder.Mu.Lock()
	defer r.recorder.Mu.Unlock()
	for _, broken := range r.recorder.Violations {
		r.t.Error(broken)
	}
}
