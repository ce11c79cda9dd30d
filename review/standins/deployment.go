package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the product, built as the deploy file says.
const program = "target/clementined"

const (
	storePort   = 8169
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	workerPort  = 8165
	firstPort   = 7720
	lastPort    = 7735
)

// Names of the queue and its service.
const (
	queueHost   = "review.example"
	queuePrefix = "/queue/"
	queueName   = "queue"
	serviceName = "pool"
)

var zones = []string{"north", "south"}

// started holds the processes of the product that run, so that all of them can be killed.
var started = struct {
	sync.Mutex
	processes map[*os.Process]bool
}{processes: map[*os.Process]bool{}}

// killAll kills all processes that the case has started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for p := range started.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
}

// process is one process of the product.
type process struct {
	name     string
	role     string
	ip       string
	settings string
	log      *os.File
	command  *exec.Cmd
	record   *recorder
}

// deployment is a small deployment on loopback addresses: the platform, the workers and the product's processes.
type deployment struct {
	record  *recorder
	dir     string
	net     string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	version int
}

// newDeployment starts the store, the entries, the agents and the workers.
func newDeployment(record *recorder, entries, workers int, cpu int64, plan func(string) taskPlan) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, dir: dir}
	if err := d.chooseNetwork(entries + workers + 1); err != nil {
		return nil, err
	}
	if d.store, err = newStore(fmt.Sprintf("%s.1:%d", d.net, storePort)); err != nil {
		return nil, err
	}
	d.configure(true, 4)
	for i := range entries {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), role: "platform-entry", ip: fmt.Sprintf("%s.%d", d.net, 2+i), record: record}
		d.entries = append(d.entries, p)
		if err := d.prepare(p, zones[i%len(zones)], ""); err != nil {
			return d, err
		}
	}
	for i := range workers {
		ip := fmt.Sprintf("%s.%d", d.net, 2+entries+i)
		p := &process{name: fmt.Sprintf("agent-%d", i+1), role: "platform-agent", ip: ip, record: record}
		d.agents = append(d.agents, p)
		if err := d.prepare(p, zones[i%len(zones)], fmt.Sprintf("%s:%d", ip, workerPort)); err != nil {
			return d, err
		}
		d.workers = append(d.workers, &worker{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), name: fmt.Sprintf("worker-%d", i+1), zone: zones[i%len(zones)],
			service: serviceName, address: fmt.Sprintf("%s:%d", ip, workerPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
			cpu: cpu, plan: plan, record: record,
		})
	}
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if err := p.start(); err != nil {
			return d, err
		}
	}
	for _, w := range d.workers {
		if err := startWorker(w); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// chooseNetwork chooses loopback addresses on which all ports are free.
func (d *deployment) chooseNetwork(hosts int) error {
	for range 50 {
		d.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		if d.portsFree(hosts) {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (d *deployment) portsFree(hosts int) bool {
	for host := 1; host <= hosts; host++ {
		for _, port := range []int{storePort, frontPort, readyPort, controlPort, workerPort, firstPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", d.net, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// configure writes the operator's next configuration, with or without the queue.
func (d *deployment) configure(withQueue bool, maxAttempts int) {
	d.version++
	routes := []map[string]any{{
		"name": "other", "host": "other.example", "prefix": "/other/", "service": serviceName, "priority": 0,
		"maxAttempts": 4, "slackFactor": 2.0, "sloMs": 1000,
	}}
	if withQueue {
		routes = append(routes, map[string]any{
			"name": queueName, "host": queueHost, "prefix": queuePrefix, "service": serviceName, "priority": 0,
			"maxAttempts": maxAttempts, "slackFactor": 2.0, "sloMs": 1000,
		})
	}
	d.store.operatorWrite(wire.ConfigurationKey, map[string]any{
		"version": d.version, "routes": routes, "limits": map[string]any{"bodyBytes": 262144},
		"services": []map[string]any{{"name": serviceName, "rejectsOverload": true}},
	})
	d.record.event("operator: configuration %d confirmed, with the queue: %v", d.version, withQueue)
}

// prepare writes the settings file of a process.
func (d *deployment) prepare(p *process, zone, app string) error {
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + zone, "region=coast",
		fmt.Sprintf("portRange=%d,%d", firstPort, lastPort), "bootstrap=true", "inLossBudget=false",
		"limits.cores=1", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=local",
		"entry=virtual_ip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,places,platform",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"timingBounds.contactMs=3000", "timingBounds.ackMs=4000", "timingBounds.drainMs=2000", "timingBounds.graceS=6",
		"timingBounds.configApplyMs=2000", "timingBounds.holdMaxMs=10000", "timingBounds.stopMs=400", "timingBounds.cancel_ms=3000",
		"timingBounds.visible_ms=3000", "timingBounds.finish_s=14", "timingBounds.status_s=120", "timingBounds.saveS=1",
		"timingBounds.restoreMs=600", "timingBounds.noticeMs=4500", "timingBounds.leaseMs=3000", "orders=rpc",
		fmt.Sprintf("platform.address=%s.1:%d", d.net, storePort), "platform.form=kv", "platform.writesPerS=400",
		"platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	for _, name := range zones {
		lines = append(lines, "zones."+name+"=coast")
	}
	if app == "" {
		lines = append(lines, "machineClass=front", "serves=front", "limits.cpuShare=0.4", "limits.memoryMb=284",
			fmt.Sprintf("listenAddrs.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listenAddrs.ready=%s:%d", p.ip, readyPort))
	} else {
		lines = append(lines, "machineClass=side", "serves=side", "limits.cpuShare=0.24", "limits.memoryMb=152",
			"app="+app, "service="+serviceName, fmt.Sprintf("listenAddrs.control=%s:%d", p.ip, controlPort))
	}
	p.settings = filepath.Join(d.dir, p.name+".conf")
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	var err error
	p.log, err = os.Create(filepath.Join(d.dir, p.name+".log"))
	return err
}

func (p *process) start() error {
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEFLOW_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		p.command = nil
		return err
	}
	started.Lock()
	started.processes[p.command.Process] = true
	started.Unlock()
	p.record.event("process %s started", p.name)
	return nil
}

// kill kills the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
	started.Lock()
	delete(started.processes, p.command.Process)
	started.Unlock()
	p.command = nil
	p.record.event("process %s killed", p.name)
}

// awaitReady waits until each entry is ready and each worker is in use.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range d.entries {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	// A worker's first heartbeats, the agents' links and the election take a few seconds.
	time.Sleep(5 * time.Second)
	return nil
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.kill()
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}

// leader returns the entry that is named in the record of the leader in the store, or nil. The record is the product's
// own; the case uses it only to choose the process that it kills, as the platform does (the last to write under a
// condition).
func (d *deployment) leader() *process {
	value := d.store.value("leader")
	for _, p := range d.entries {
		if p.command != nil && bytes.Contains(value, []byte(p.ip+":")) {
			return p
		}
	}
	return nil
}

// alive returns an entry that runs.
func (d *deployment) alive() *process {
	for _, p := range d.entries {
		if p.command != nil {
			return p
		}
	}
	return nil
}

var clients = &http.Client{
	Timeout:   3 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 32},
}

// call sends a client's call to an entry and returns the status (0: no answer) and the decoded body.
func (d *deployment) call(p *process, method, path string, body any) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var encoded io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		encoded = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), encoded)
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Clementineflow-Deadline-Ms", "3000")
	response, err := clients.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

// specBytes is the length of a job's text; the pages allow 4,000 bytes.
const specBytes = 2000

func specOf(id string) string { return strings.Repeat(id, specBytes/len(id)) }

// submit submits a job until it is accepted, or returns an error.
func (d *deployment) submit(id string, steps ...map[string]any) error {
	for attempt := range 5 {
		p := d.entries[attempt%len(d.entries)]
		status, _ := d.call(p, http.MethodPost, queuePrefix+id, map[string]any{"spec": specOf(id), "steps": steps})
		d.record.event("client: submission %s sent to %s: %d", id, p.name, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state returns the state of a job as any entry shows it, or "" without an answer.
func (d *deployment) state(id string) string {
	for _, p := range d.entries {
		if p.command == nil {
			continue
		}
		status, body := d.call(p, http.MethodGet, queuePrefix+id, nil)
		if state, ok := body["state"].(string); ok && status == http.StatusOK {
			return state
		}
	}
	return ""
}

// awaitState waits until a job is shown in the state, and reports whether that happened in time.
func (d *deployment) awaitState(id, state string, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if d.state(id) == state {
			d.record.event("client: %s is shown as %s", id, state)
			return true
		}
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
