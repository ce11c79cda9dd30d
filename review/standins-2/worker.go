package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workSpec is what the spec of a submission says about its tasks, as "ms=800;cpu=240".
type workSpec struct {
	millis int64
	cpu    int64
	memory int64
	fails  bool
	lasts  bool
	serves bool
	fills  bool
}

func parseWork(spec string) workSpec {
	work := workSpec{millis: 800, cpu: 1000, memory: 64}
	for _, field := range strings.Split(spec, ";") {
		name, value, _ := strings.Cut(field, "=")
		number, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			work.millis = number
		case "cpu":
			work.cpu = number
		case "mem":
			work.memory = number
		case "fail":
			work.fails = number != 0
		case "fills":
			work.fills = number != 0
		case "serves":
			work.serves = number != 0
		case "lasts":
			work.lasts = number != 0
		}
	}
	return work
}

// reservedCPU returns what the task takes of the room: a task that fills takes no processors.
func (w *workSpec) reservedCPU() int64 {
	if w.fills {
		return 0
	}
	return w.cpu
}

// workerRun is a run on the worker.
type workerRun struct {
	task     string
	run      uint32
	work     workSpec
	began    time.Time
	stopping bool
	// pace is in percent; worked is the work done so far.
	pace   int
	worked time.Duration
}

// worker is a stand-in for one life of an application worker. It does what the page on running tasks says.
type worker struct {
	id, service, zone, control string
	born                       time.Time

	mu         sync.Mutex
	fence      uint64
	due        time.Duration
	running    map[string]*workerRun
	ended      []endRow
	lastEnd    uint64
	highestRun map[string]uint32
	changed    chan struct{}
	state      string
	remaining  time.Duration
	sequence   uint64
	// resetUntil ends the time in which the worker resets all calls.
	resetUntil time.Time
	// baseLatency is the tail latency in milliseconds of the tasks that serve, without others beside them.
	baseLatency int64
}

type endRow struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// Figures of every worker.
const (
	// capacityCPU is in thousandths of a core, capacityMem in MB.
	capacityCPU = 16000
	capacityMem = 64000
	// holdMax is the longest lease, stopTime the time of a stop, and beat the time between two status reports.
	holdMax  = 10 * time.Second
	stopTime = 50 * time.Millisecond
	beat     = 1500 * time.Millisecond
)

// say writes one event for the driver.
func say(format string, args ...any) {
	fmt.Printf("%d %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
}

// clockOffset is the reading of a worker's clock at its start.
const clockOffset = 5 * time.Second

func (w *worker) clock() time.Duration { return clockOffset + time.Since(w.born) }

// runWorker is the command of a worker process. It obeys the lines "drain MILLIS", "leave", "latency MILLIS" and
// "reset MILLIS" on its input.
func runWorker(args []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{running: map[string]*workerRun{}, highestRun: map[string]uint32{}, changed: make(chan struct{}), state: "ready", baseLatency: usualLatencyMs}
	var listen string
	flags.StringVar(&w.id, "id", "", "id")
	flags.StringVar(&w.service, "service", "", "service")
	flags.StringVar(&w.zone, "zone", "", "zone")
	flags.StringVar(&w.control, "control", "", "address for status reports")
	flags.StringVar(&listen, "listen", "", "address for calls")
	_ = flags.Parse(args)
	w.born = time.Now()
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		say("error %s", err)
		os.Exit(2)
	}
	say("up born %d", w.born.UnixMilli())
	go func() { _ = http.Serve(listener, w) }()
	go w.watchLease()
	go w.work()
	go w.report()
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		command, argument, _ := strings.Cut(input.Text(), " ")
		switch command {
		case "drain":
			millis, _ := strconv.Atoi(argument)
			w.mu.Lock()
			w.state, w.remaining = "draining", time.Duration(millis)*time.Millisecond
			w.mu.Unlock()
			w.sendReport()
		case "latency":
			millis, _ := strconv.Atoi(argument)
			w.mu.Lock()
			w.baseLatency = int64(millis)
			w.mu.Unlock()
			say("base latency is %d ms", millis)
		case "reset":
			millis, _ := strconv.Atoi(argument)
			w.mu.Lock()
			w.resetUntil = time.Now().Add(time.Duration(millis) * time.Millisecond)
			// Calls that wait are reset too.
			close(w.changed)
			w.changed = make(chan struct{})
			w.mu.Unlock()
			say("resets calls for %d ms", millis)
		case "leave":
			say("leave sent")
			status := w.call("/servers/"+w.id+"/leave", nil)
			say("leave answered %d; ends", status)
			os.Exit(0)
		}
	}
	// The driver has ended.
	os.Exit(0)
}

// report sends status reports.
func (w *worker) report() {
	for {
		w.sendReport()
		time.Sleep(beat)
	}
}

func (w *worker) sendReport() {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.service, "address": "", "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": capacityCPU, names.Memory: capacityMem, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clockMs": w.clock().Milliseconds(), "seq": w.sequence, "born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		body["remainingMs"] = w.remaining.Milliseconds()
	}
	sequence, state := w.sequence, w.state
	w.mu.Unlock()
	status := w.call("/servers/"+w.id+"/heartbeat", body)
	if sequence == 1 || state == "draining" || status != http.StatusOK {
		say("status report %d (%s) answered %d", sequence, state, status)
	}
}

// call sends a call to the control address on a connection of its own. It returns 0 without an answer within a second.
func (w *worker) call(path string, body any) int {
	encoded, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+w.control+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// watchLease ends all runs when the lease has expired.
func (w *worker) watchLease() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.clock() > w.due {
			for _, run := range w.running {
				w.endLocked(run, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// workTick is the time between two steps of the work.
const workTick = 5 * time.Millisecond

// work lets all runs work at their paces, and ends those that are finished.
func (w *worker) work() {
	for range time.Tick(workTick) {
		w.mu.Lock()
		for _, run := range w.running {
			if run.work.lasts || run.stopping {
				continue
			}
			run.worked += workTick * time.Duration(run.pace) / 100
			if run.worked.Milliseconds() < run.work.millis {
				continue
			}
			how := "done"
			if run.work.fails {
				how = "failed"
			}
			w.endLocked(run, how)
		}
		w.mu.Unlock()
	}
}

// latencyLocked returns the tail latency of the tasks that serve: it rises with what fills beside them.
func (w *worker) latencyLocked() int64 {
	latency := w.baseLatency
	for _, run := range w.running {
		if run.work.fills {
			latency += run.work.cpu * int64(run.pace) / 100 / 40
		}
	}
	return latency
}

// endLocked lists the end of a run.
func (w *worker) endLocked(run *workerRun, how string) {
	if w.running[run.task] != run {
		return
	}
	delete(w.running, run.task)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, run.task, run.run, how})
	w.highestRun[run.task] = max(w.highestRun[run.task], run.run)
	say("end %s %d %s", run.task, run.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// workerCall holds the fields of all calls of an agent. Their names are matched without regard to case.
type workerCall struct {
	Task      string
	Run       uint32
	Spec      string
	DueMs     int64
	Fence     uint64
	AckedUpto uint64
	WaitMs    int64
	Percent   int
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if instance := r.Header.Get("Clementineflow-Expect-Instance"); instance != "" && instance != w.id {
		reply(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.refuse(out, http.StatusBadRequest, "")
		return
	}
	w.mu.Lock()
	reset := time.Now().Before(w.resetUntil)
	w.mu.Unlock()
	if reset {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	if call.Fence < w.fence {
		say("%s %s refused: fence %d, seen %d", r.URL.Path, call.Task, call.Fence, w.fence)
		w.mu.Unlock()
		w.refuse(out, http.StatusConflict, "fence")
		return
	}
	w.fence = call.Fence
	w.mu.Unlock()
	switch r.URL.Path {
	case names.StartRun:
		w.start(out, &call)
	case names.StopRun:
		w.stop(out, &call)
	case "/hold":
		w.hold(out, r, &call)
	case "/pace":
		w.mu.Lock()
		if run := w.running[call.Task]; run != nil && run.run == call.Run {
			run.pace = call.Percent
			say("pace %s %d to %d", call.Task, call.Run, call.Percent)
		}
		w.mu.Unlock()
		w.refuse(out, http.StatusOK, "")
	default:
		w.refuse(out, http.StatusNotFound, "")
	}
}

func (w *worker) refuse(out http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clockMs": w.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(out, status, body)
}

// extendLocked extends the lease; it never shortens it.
func (w *worker) extendLocked(leaseEnd int64) {
	due := min(time.Duration(leaseEnd)*time.Millisecond, w.clock()+holdMax)
	w.due = max(w.due, due)
}

func (w *worker) start(out http.ResponseWriter, call *workerCall) {
	w.mu.Lock()
	reason := w.startLocked(call)
	w.mu.Unlock()
	if reason != "" {
		w.refuse(out, http.StatusConflict, reason)
		return
	}
	w.refuse(out, http.StatusOK, "")
}

// startLocked starts a run and returns why it does not.
func (w *worker) startLocked(call *workerCall) string {
	old := w.running[call.Task]
	switch {
	case old != nil && old.run == call.Run:
		w.extendLocked(call.DueMs)
		return ""
	case old != nil || call.Run <= w.highestRun[call.Task]:
		w.extendLocked(call.DueMs)
		return "old"
	case time.Duration(call.DueMs)*time.Millisecond <= w.clock():
		return "late"
	}
	w.extendLocked(call.DueMs)
	work := parseWork(call.Spec)
	cpu, memory := work.reservedCPU(), work.memory
	for _, run := range w.running {
		cpu += run.work.reservedCPU()
		memory += run.work.memory
	}
	if cpu > capacityCPU || memory > capacityMem {
		return "room"
	}
	run := &workerRun{task: call.Task, run: call.Run, work: work, began: time.Now(), pace: 100}
	w.running[call.Task] = run
	say("start %s %d", run.task, run.run)
	return ""
}

func (w *worker) stop(out http.ResponseWriter, call *workerCall) {
	w.mu.Lock()
	run := w.running[call.Task]
	if run != nil && run.run == call.Run && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endLocked(run, "stopped")
		})
	}
	w.highestRun[call.Task] = max(w.highestRun[call.Task], call.Run)
	say("stop %s %d", call.Task, call.Run)
	w.mu.Unlock()
	w.refuse(out, http.StatusOK, "")
}

// usualLatencyMs is the tail latency of a task that serves without others beside it.
const usualLatencyMs = 20

func (w *worker) hold(out http.ResponseWriter, r *http.Request, call *workerCall) {
	deadline := time.NewTimer(time.Duration(min(call.WaitMs, 2000)) * time.Millisecond)
	defer deadline.Stop()
	w.mu.Lock()
	for len(w.ended) > 0 && w.ended[0].number <= call.AckedUpto {
		w.ended = w.ended[1:]
	}
	if call.DueMs > 0 {
		w.extendLocked(call.DueMs)
	}
	empty, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if empty {
		select {
		case <-changed:
		case <-deadline.C:
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if time.Now().Before(w.resetUntil) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 100
		if !run.work.lasts {
			percent = int(min(99, 100*run.worked.Milliseconds()/max(run.work.millis, 1)))
		}
		figure := run.work.cpu * int64(run.pace) / 100
		if run.work.serves {
			figure = w.latencyLocked()
		}
		running = append(running, []any{run.task, run.run, "", percent, figure})
	}
	for i := 0; i < len(w.ended) && i < 500; i++ {
		row := w.ended[i]
		ended = append(ended, []any{row.number, row.task, row.run, row.how, ""})
	}
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	reply(out, http.StatusOK, body)
}
