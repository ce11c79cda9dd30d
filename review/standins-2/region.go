package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has an address of its own.
const (
	clientPort  = 8161
	readyPort   = 8167
	controlPort = 8166
	appPort     = 8165
	metricsPort = 9180
	linkPort    = 7720
	storePort   = 8169
)

// process is a program of the project or a stand-in that the case has started.
type process struct {
	name    string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// runInterval is one run with its begin and its end; the end is zero while it runs. how is how it ended: it is "crashed"
// for a run that ended with its worker.
type runInterval struct {
	worker     string
	life       int
	task       string
	run        uint32
	began, end time.Time
	how        string
	// pace is the latest share of its speed, in percent, and pacedAt when it was set.
	pace    int
	pacedAt time.Time
}

// workerSlot is a machine with its agent and the current life of its worker.
type workerSlot struct {
	name, ip, zone string
	// control is where the worker sends its status reports.
	control string
	agent   *process
	worker  *process
	life    int
}

// region is a small deployment with a stand-in for the store.
type region struct {
	record  *record
	folder  string
	binary  string
	network string
	zones   []string
	store   *store
	// shares holds the processor shares of entries that differ from the usual one.
	shares  map[string]string
	entries []*process
	slots   []*workerSlot

	mu   sync.Mutex
	runs []*runInterval
	all  []*process
}

// serviceName is the service of all workers, clientHost the host of all queues.
const (
	serviceName = "pool"
	clientHost  = "h.example"
)

// newRegion starts a store with the configuration, entries and machines with workers.
func newRegion(record *record, entries, workers int, routes string, shares map[string]string) (*region, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	g := &region{record: record, folder: folder, binary: "target/clementined", shares: shares, zones: []string{"north", "south"}}
	if g.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	openRegions.Lock()
	openRegions.list = append(openRegions.list, g)
	openRegions.Unlock()
	g.store = newStore(record)
	if err := g.store.serve(fmt.Sprintf("%s.200:%d", g.network, storePort)); err != nil {
		return nil, err
	}
	g.store.put(names.Configuration, `{"version":1,"routes":[`+routes+`],"services":[{"name":"pool","rejectsOverload":true,"standby":false}],"limits":{"bodyBytes":262144}}`)
	for i := range entries {
		ip := fmt.Sprintf("%s.%d", g.network, 1+i)
		p, err := g.startRole("platform-entry", fmt.Sprintf("front-%d", i+1), ip, g.zones[i%len(g.zones)])
		if err != nil {
			return nil, err
		}
		g.entries = append(g.entries, p)
	}
	for i := range workers {
		ip := fmt.Sprintf("%s.%d", g.network, 50+i)
		slot := &workerSlot{name: fmt.Sprintf("w%d", i+1), ip: ip, zone: g.zones[i%len(g.zones)], control: fmt.Sprintf("%s:%d", ip, controlPort)}
		if slot.agent, err = g.startRole("platform-agent", fmt.Sprintf("side-%d", i+1), ip, slot.zone); err != nil {
			return nil, err
		}
		g.slots = append(g.slots, slot)
	}
	return g, nil
}

// openRegions lists all regions of the process.
var openRegions struct {
	sync.Mutex
	list []*region
}

// closeAll ends the processes of all regions.
func closeAll() {
	openRegions.Lock()
	defer openRegions.Unlock()
	for _, g := range openRegions.list {
		g.close()
	}
}

// freeNetwork returns the first three parts of loopback addresses that nothing listens at.
func freeNetwork() (string, error) {
	for i := range 100 {
		n := os.Getpid() + 131*i
		network := fmt.Sprintf("127.%d.%d", 64+n%128, n/128%250)
		free := true
		for _, host := range []int{1, 2, 3, 50, 51, 52, 200} {
			for _, port := range []int{clientPort, metricsPort, storePort} {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, host, port))
				if err != nil {
					free = false
					continue
				}
				listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

// startRole starts a program of the project with the command of the deploy file.
func (g *region) startRole(role, name, ip, zone string) (*process, error) {
	class, serves, cpu, memory := "front", "front", "0.4", "284"
	if share := g.shares[name]; share != "" {
		cpu = share
	}
	if role == "platform-agent" {
		class, serves, cpu, memory = "side", "side", "0.24", "152"
	}
	lines := []string{
		"nodeName=" + name, "role=" + role, "machineClass=" + class, "serves=" + serves, "ip=" + ip, "zone=" + zone, "region=coast",
	}
	for _, other := range g.zones {
		lines = append(lines, "zones."+other+"=coast")
	}
	if class == "front" {
		lines = append(lines, fmt.Sprintf("listenAddrs.front=%s:%d", ip, clientPort), fmt.Sprintf("listenAddrs.ready=%s:%d", ip, readyPort))
	} else {
		lines = append(lines, fmt.Sprintf("listenAddrs.control=%s:%d", ip, controlPort), fmt.Sprintf("app=%s:%d", ip, appPort), "service="+serviceName)
	}
	lines = append(lines, fmt.Sprintf("portRange=%d,%d", linkPort, linkPort+15), "bootstrap=true", "limits.cpuShare="+cpu, "limits.cores=1",
		"limits.memoryMb="+memory, "limits.maxFds=4096", "heartbeatMs=1500", "timingBounds.contactMs=3000", "timingBounds.ackMs=4000",
		"timingBounds.drainMs=2000", "timingBounds.graceS=6", "timingBounds.configApplyMs=2000", "timingBounds.evacuateMs=5000",
		"timingBounds.holdMaxMs=10000", "timingBounds.stopMs=400", "timingBounds.cancel_ms=3000", "timingBounds.visible_ms=3000",
		"timingBounds.finish_s=14", "timingBounds.status_s=120", "timingBounds.recoverS=12", "orders=rpc",
		fmt.Sprintf("platform.address=%s.200:%d", g.network, storePort), "platform.form=kv", "platform.writesPerS=400",
		"platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000")
	settings := filepath.Join(g.folder, name+".conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(g.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(g.binary, role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CLEMENTINEFLOW_SETTINGS=" + settings}
	command.Stdout, command.Stderr = log, log
	return g.start(name, command)
}

// restart starts a program of the project again with its settings, once its process has ended.
func (g *region) restart(p *process) (*process, error) {
	<-p.exited
	return g.start(p.name, newCommand(p.command))
}

// newCommand returns a command that can be started like an earlier one.
func newCommand(old *exec.Cmd) *exec.Cmd {
	command := exec.Command(old.Path, old.Args[1:]...)
	command.Env, command.Stdout, command.Stderr = old.Env, old.Stdout, old.Stderr
	return command
}

func (g *region) start(name string, command *exec.Cmd) (*process, error) {
	p := &process{name: name, command: command, exited: make(chan struct{})}
	if err := command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	g.mu.Lock()
	g.all = append(g.all, p)
	g.mu.Unlock()
	return p, nil
}

// startWorker starts the next life of the worker of a machine.
func (g *region) startWorker(slot *workerSlot) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{
		"worker", "--id", "i-" + slot.name, "--service", serviceName, "--zone", slot.zone,
		"--control", slot.control, "--listen", fmt.Sprintf("%s:%d", slot.ip, appPort),
	}
	command := exec.Command(self, args...)
	input, err := command.StdinPipe()
	if err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = writer, os.Stderr
	slot.life++
	life := slot.life
	p, err := g.start(slot.name, command)
	writer.Close()
	if err != nil {
		return err
	}
	p.input = input
	slot.worker = p
	go g.followWorker(slot.name, life, reader, p)
	return nil
}

// followWorker records what a worker says until its process has ended.
func (g *region) followWorker(name string, life int, output io.Reader, p *process) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		micros, _ := strconv.ParseInt(stamp, 10, 64)
		at := time.UnixMicro(micros)
		g.record.addAt(at, fmt.Sprintf("%s/%d", name, life), "%s", text)
		words := strings.Fields(text)
		switch {
		case len(words) == 3 && words[0] == "start":
			run, _ := strconv.Atoi(words[2])
			g.mu.Lock()
			g.runs = append(g.runs, &runInterval{worker: name, life: life, task: words[1], run: uint32(run), began: at, pace: 100, pacedAt: at})
			g.mu.Unlock()
		case len(words) == 4 && words[0] == "end":
			run, _ := strconv.Atoi(words[2])
			g.closeRuns(at, words[3], func(r *runInterval) bool {
				return r.worker == name && r.life == life && r.task == words[1] && r.run == uint32(run)
			})
		case len(words) == 5 && words[0] == "pace":
			run, _ := strconv.Atoi(words[2])
			g.mu.Lock()
			for _, r := range g.runs {
				if r.worker == name && r.life == life && r.task == words[1] && r.run == uint32(run) {
					r.pace, _ = strconv.Atoi(words[4])
					r.pacedAt = at
				}
			}
			g.mu.Unlock()
		}
	}
	<-p.exited
	at := time.Now()
	g.record.add(fmt.Sprintf("%s/%d", name, life), "process has ended")
	g.closeRuns(at, "crashed", func(r *runInterval) bool { return r.worker == name && r.life == life })
}

func (g *region) closeRuns(at time.Time, how string, match func(*runInterval) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.runs {
		if r.end.IsZero() && match(r) {
			r.end, r.how = at, how
		}
	}
}

// snapshot returns a copy of all runs so far.
func (g *region) snapshot() []runInterval {
	g.mu.Lock()
	defer g.mu.Unlock()
	var runs []runInterval
	for _, r := range g.runs {
		runs = append(runs, *r)
	}
	return runs
}

// call sends one call of a client and returns the status and the body. The status is 0 without an answer.
func (g *region) call(method string, entry int, path, body string, timeout time.Duration) (int, string) {
	url := fmt.Sprintf("http://%s.%d:%d%s", g.network, 1+entry, clientPort, path)
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	request.Host = clientHost
	request.Header.Set("Clementineflow-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		g.record.add("client", "%s %s at front-%d: no answer within %d ms", method, path, entry+1, time.Since(began).Milliseconds())
		return 0, ""
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	g.record.add("client", "%s %s at front-%d: %d %s (after %d ms)", method, path, entry+1, response.StatusCode, content, time.Since(began).Milliseconds())
	return response.StatusCode, string(content)
}

// clientTimeout is the time limit of the clients.
const clientTimeout = 3 * time.Second

// submit hands a submission in, at the next entry after no answer, 502 or 504, or after a refusal, and reports whether it
// was accepted.
func (g *region) submit(prefix, id, body string) bool {
	for attempt := range 5 {
		status, _ := g.call(http.MethodPost, attempt%len(g.entries), prefix+id, body, clientTimeout)
		if status/100 == 2 {
			return true
		}
		if status == 404 || status == 400 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission, or "" if no entry gives one.
func (g *region) state(prefix, id string) string {
	for entry := range g.entries {
		status, content := g.call(http.MethodGet, entry, prefix+id, "", clientTimeout)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(content), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// awaitState waits until the submission is in one of the states, and returns the latest state.
func (g *region) awaitState(prefix, id string, timeout time.Duration, states ...string) string {
	state := ""
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		state = g.state(prefix, id)
		for _, wanted := range states {
			if state == wanted {
				return state
			}
		}
	}
	return state
}

// awaitReady waits until all entries are ready and a small submission is done.
func (g *region) awaitReady(prefix string) error {
	deadline := time.Now().Add(20 * time.Second)
	for entry := range g.entries {
		for {
			response, err := http.Get(fmt.Sprintf("http://%s.%d:%d/ready", g.network, 1+entry, readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("an entry is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	id := newID()
	if !g.submit(prefix, id, submission("ms=300;cpu=100", step{Count: 2, CPU: 100, MemMb: 64, EstimateMs: 300})) {
		return errors.New("the first submission is not accepted")
	}
	if state := g.awaitState(prefix, id, 15*time.Second, "done"); state != "done" {
		return fmt.Errorf("the first submission is %q", state)
	}
	return nil
}

// coordinator returns the entry whose record is the key "leader", or -1.
func (g *region) coordinator() int {
	g.store.mu.Lock()
	value := g.store.items["leader"].Value
	g.store.mu.Unlock()
	for i := range g.entries {
		if bytes.Contains(value, []byte(fmt.Sprintf("%s.%d:%d", g.network, 1+i, linkPort))) {
			return i
		}
	}
	return -1
}

// close ends all processes and keeps their logs if a folder is named.
func (g *region) close() {
	g.mu.Lock()
	all := g.all
	g.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(g.folder)
	} else {
		fmt.Println("logs in", g.folder)
	}
}

// step is a step of a submission on the wire.
type step struct {
	Count          int `json:"count"`
	CPU            int `json:"cpu"`
	MemMb          int
	EstimateMs     int    `json:"estimateMs,omitempty"`
	After          []int  `json:"after,omitempty"`
	Perpetual      bool   `json:"perpetual,omitempty"`
	Image          string `json:"image,omitempty"`
	TargetMs       int    `json:"targetMs,omitempty"`
	FillCount      bool   `json:",omitempty"`
	MaxPerServer   int    `json:"maxPerServer,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
}

func submission(spec string, steps ...step) string {
	var encoded []any
	for _, s := range steps {
		encoded = append(encoded, encodeStep(s))
	}
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": encoded})
	return string(body)
}

var lastID uint64

// newID returns an ID of 16 hexadecimal digits.
func newID() string {
	lastID++
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()/1000), uint32(lastID))
}
