package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a process on its own loopback address.
const (
	frontPort  = 8161
	readyPort  = 8167
	reportPort = 8166
	appPort    = 8165
	storePort  = 8169
)

// process is an entry or an agent of the system.
type process struct {
	name     string
	ip       string
	command  []string
	settings string
	log      *os.File
	journal  *journal

	mu      sync.Mutex
	running *exec.Cmd
	exited  chan struct{}
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.command[0], p.command[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEFLOW_SETTINGS=" + p.settings}
	command.Stdout, command.Stderr = p.log, p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.running, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.journal.add("process %s started", p.name)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		p.journal.add("process %s gets %s", p.name, s)
		_ = p.running.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// deployment is a small installation: entries and agents as processes, with stand-ins for the platform around them.
type deployment struct {
	journal *journal
	store   *kvStore
	folder  string
	prefix  string
	entries []*process
	agents  []*process
	workers []*worker
	zones   []string
	queues  []queue
	jobs    *jobTable
	// weak is set while the process of the weak machine is made.
	weak   bool
	client *http.Client
}

// queue is a route of the configuration.
type queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	Timeout     int     `json:"timeoutMs"`
	SLO         int     `json:"sloMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	SlackFactor float64 `json:"slackFactor"`
}

// shape is the size of a deployment and what its workers are like.
type shape struct {
	entries, agents int
	// weak is the number of entries, the last ones, that are weak machines with a narrow link. The others are strong then.
	weak     int
	capacity capacity
	guards   bool
}

const service = "filtertrack"

// newDeployment starts the store, the workers and the processes, and waits until they serve.
func newDeployment(s shape) (*deployment, error) {
	folder, err := os.MkdirTemp("", "clementineflow-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		journal: newJournal(), store: newStore(), folder: folder, zones: []string{"burnaby", "surrey", "nanaimo", "kamloops"},
		jobs: newJobTable(), client: &http.Client{Timeout: 4 * time.Second},
		queues: []queue{
			{Name: "r-intake", Host: "shop.example", Prefix: "/intake/", Kind: "unsafe", Timeout: 3000, SLO: 250, Service: service, MaxAttempts: 4, SlackFactor: 1.5},
			{Name: "r-bake", Host: "shop.example", Prefix: "/bake/", Kind: "unsafe", Timeout: 3000, SLO: 1000, Priority: 2, Service: service, MaxAttempts: 4, SlackFactor: 2},
			{Name: "r-watch", Host: "shop.example", Prefix: "/watch/", Kind: "unsafe", Timeout: 3000, SLO: 2500, Service: service, MaxAttempts: 3, SlackFactor: 2.2},
		},
	}
	if d.prefix, err = freePrefix(); err != nil {
		return d, err
	}
	if err := d.configure(s); err != nil {
		return d, err
	}
	for _, p := range append(append([]*process(nil), d.entries...), d.agents...) {
		if err := p.start(); err != nil {
			return d, err
		}
	}
	for _, w := range d.workers {
		if err := w.boot(); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// freePrefix returns the first three bytes of loopback addresses that are free.
func freePrefix() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s200:%d", prefix, storePort))
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// commands returns the commands of the roles in the deploy file.
func commands() (entry, agent []string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, nil, err
	}
	for _, match := range regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindAllStringSubmatch(string(data), -1) {
		words := strings.Fields(match[1])
		if strings.Contains(match[1], "platform-entry") {
			entry = words
		} else {
			agent = words
		}
	}
	if entry == nil || agent == nil {
		return nil, nil, fmt.Errorf("the deploy file names no commands")
	}
	return entry, agent, nil
}

func (d *deployment) configure(s shape) error {
	entryCommand, agentCommand, err := commands()
	if err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{
		"version": 7, "routes": d.queues,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "rejectsOverload": s.guards}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 262144, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	d.store.put(names["configuration"], config)
	for i := range s.entries {
		name := fmt.Sprintf("front-%s-%d", d.zones[i%len(d.zones)], i/len(d.zones)+1)
		share, linkMbps, memory := "0.4", "1000.0", 284
		if s.weak > 0 {
			share, linkMbps, memory = "0.8", "200.0", 536
		}
		if d.weak = i >= s.entries-s.weak; d.weak {
			share, linkMbps, memory = "0.192", fmt.Sprintf("%d.0", weakLink), 184
		}
		p, err := d.newProcess(name, fmt.Sprintf("%s%d", d.prefix, 1+i), d.zones[i%len(d.zones)], entryCommand,
			"machineClass=front", "serves=front", fmt.Sprintf("limits.memoryMb=%d", memory), "limits.maxFds=4100",
			"limits.cpuShare="+share, "limits.linkMbps="+linkMbps)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for i := range s.agents {
		zone := d.zones[i%len(d.zones)]
		name, ip := fmt.Sprintf("side-%s-%d", zone, i/len(d.zones)+1), fmt.Sprintf("%s%d", d.prefix, 101+i)
		app := fmt.Sprintf("%s:%d", ip, appPort)
		p, err := d.newProcess(name, ip, zone, agentCommand, "machineClass=side", "serves=side", "limits.cpuShare=0.24",
			"limits.memoryMb=152", "limits.maxFds=4096", "app="+app, "service="+service)
		if err != nil {
			return err
		}
		d.agents = append(d.agents, p)
		d.workers = append(d.workers, &worker{
			name: name, id: fmt.Sprintf("i-%08x", rand.Uint32()), app: app, control: fmt.Sprintf("%s:%d", ip, reportPort), zone: zone,
			service: service, capacity: s.capacity, labels: []string{"a", fmt.Sprintf("r%d-1", i%len(d.zones)+1)}, guards: s.guards,
			journal: d.journal, cpuOf: d.jobs.cpuOf,
		})
	}
	return nil
}

func (d *deployment) newProcess(name, ip, zone string, command []string, extra ...string) (*process, error) {
	store := fmt.Sprintf("%s:%d", ip, storePort)
	served := store
	if d.weak {
		served = fmt.Sprintf("%s:%d", ip, storePort+1)
		if err := narrow(store, served); err != nil {
			return nil, err
		}
	}
	if err := d.store.serve(name, served); err != nil {
		return nil, err
	}
	lines := []string{
		"nodeName=" + name, "ip=" + ip, "zone=" + zone, "region=bc-coast", "heartbeatMs=1500", "orders=rpc", "discovery=local",
		fmt.Sprintf("listenAddrs.front=%s:%d", ip, frontPort), fmt.Sprintf("listenAddrs.ready=%s:%d", ip, readyPort),
		fmt.Sprintf("listenAddrs.control=%s:%d", ip, reportPort), "portRange=7720,7735", "limits.cores=1",
		"platform.address=" + store, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000", "bootstrap=true",
		"timingBounds.contactMs=3000", "timingBounds.ackMs=4000", "timingBounds.drainMs=2000", "timingBounds.graceS=6",
		"timingBounds.configApplyMs=2000", "timingBounds.evacuateMs=5000", "timingBounds.holdMaxMs=10000", "timingBounds.stopMs=400",
		"timingBounds.cancel_ms=3000", "timingBounds.visible_ms=3000", "timingBounds.finish_s=14", "timingBounds.status_s=120",
	}
	for _, z := range d.zones {
		lines = append(lines, "zones."+z+"=bc-coast")
	}
	p := &process{name: name, ip: ip, command: command, settings: filepath.Join(d.folder, name+".conf"), journal: d.journal}
	if err := os.WriteFile(p.settings, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(d.folder, name+".log"))
	return p, err
}

// awaitReady waits until all entries are ready and every worker has had a call from its agent.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range d.entries {
		for {
			response, err := d.client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, w := range d.workers {
		for {
			w.mu.Lock()
			met := w.fence > 0
			w.mu.Unlock()
			if met {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("worker %s had no call", w.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.journal.add("all entries are ready and all workers are looked after")
	return nil
}

// stop ends all processes and removes the folder with their settings and logs.
func (d *deployment) stop() {
	for _, p := range append(append([]*process(nil), d.entries...), d.agents...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, w := range d.workers {
		w.crash()
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.Rename(d.folder, kept)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// sleep waits for a time of the case.
func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
