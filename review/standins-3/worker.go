package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// capacity is the room of a worker, in the words of the wire.
type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"$memory"`
	GPU    int64 `json:"gpu"`
}

// lastingLatency is the tail latency of a task that lasts, in milliseconds.
const lastingLatency = 10

// running is a run at work.
type running struct {
	task    string
	run     uint32
	started time.Time
	// length is the time of the work, or zero for a task that lasts.
	length time.Duration
	cpu    int64
}

// ended is a run that has ended and is not forgotten yet.
type ended struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// worker is a stand-in for an application worker, with its incarnations. It follows the page on running tasks.
type worker struct {
	name      string
	id        string
	app       string
	control   string
	zone      string
	service   string
	capacity  capacity
	labels    []string
	guards    bool
	journal   *journal
	cpuOf     func(task string) int64
	startTime time.Time

	mu       sync.Mutex
	up       bool
	born     int64
	clock0   time.Time
	sequence uint64
	runs     map[string]*running
	ends     []ended
	nextEnd  uint64
	acked    uint64
	fence    uint64
	barred   map[string]uint32
	due      time.Time
	wake     chan struct{}
	server   *http.Server
	// unhealthy makes the worker answer 503 to a start.
	unhealthy bool
	// onStart is called when a run has started. It may be nil.
	onStart func(w *worker, task string, run uint32)
	// hold, if not nil, delays answers to a start after they were carried out.
	answerDelay func() time.Duration
}

// boot starts an incarnation of the worker and its status reports.
func (w *worker) boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		return nil
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", w.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.up, w.born, w.clock0, w.sequence = true, time.Now().UnixMilli(), time.Now(), 0
	w.runs, w.ends, w.nextEnd, w.acked, w.fence = map[string]*running{}, nil, 0, 0, 0
	w.barred, w.due, w.wake = map[string]uint32{}, time.Time{}, make(chan struct{})
	born := w.born
	mux := http.NewServeMux()
	mux.HandleFunc("POST /"+names["start"], w.guard(born, w.handleStart))
	mux.HandleFunc("POST /"+names["stop"], w.guard(born, w.handleStop))
	mux.HandleFunc("POST /hold", w.guard(born, w.handleHold))
	mux.HandleFunc("POST /pace", w.guard(born, w.handlePace))
	w.server = &http.Server{Handler: mux}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.report(born)
	go w.tick(born)
	w.journal.add("worker %s up, born %d, capacity %d, labels %s", w.name, born, w.capacity.CPU, strings.Join(w.labels, ","))
	return nil
}

// crash ends the incarnation with all its runs, without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.server.Close()
	close(w.wake)
	w.wake = make(chan struct{})
	w.journal.add("worker %s crashed with %d runs", w.name, len(w.runs))
	for _, r := range w.runs {
		w.journal.run(runEvent{kind: "gone", worker: w.name, task: r.task, run: r.run})
	}
	w.runs = map[string]*running{}
}

// guard checks the incarnation that a call is meant for.
func (w *worker) guard(born int64, next http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		up := w.up && w.born == born
		w.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Clementineflow-Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(rw, r)
	}
}

func (w *worker) clockLocked() int64 { return time.Since(w.clock0).Milliseconds() + 1000 }

// report sends status reports while the incarnation lives.
func (w *worker) report(born int64) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if !w.up || w.born != born {
			w.mu.Unlock()
			return
		}
		w.sequence++
		body := encode(map[string]any{
			"service": w.service, "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": w.capacity, "labels": w.labels, "clockMs": w.clockLocked(), "seq": w.sequence, "born": w.born,
		})
		w.mu.Unlock()
		pause := 1500 * time.Millisecond
		response, err := client.Post("http://"+w.control+"/servers/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode/100 != 2 {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// tick ends runs whose work is done, and all runs once the lease has run out.
func (w *worker) tick(born int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.born != born {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range w.runs {
			switch {
			case now.After(w.due):
				w.endLocked(r, "lapsed")
			case r.length > 0 && now.Sub(r.started) >= r.length:
				w.endLocked(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// endLocked ends a run and lists its end.
func (w *worker) endLocked(r *running, how string) {
	delete(w.runs, r.task)
	w.nextEnd++
	w.ends = append(w.ends, ended{number: w.nextEnd, task: r.task, run: r.run, how: how})
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.journal.run(runEvent{kind: "end", worker: w.name, task: r.task, run: r.run, how: how, number: w.nextEnd})
	close(w.wake)
	w.wake = make(chan struct{})
}

// fencedLocked reports whether a call has a lower fence than the highest seen, and keeps it otherwise.
func (w *worker) fencedLocked(fence uint64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

func (w *worker) extendLocked(dueMillis int64) {
	if dueMillis == 0 {
		return
	}
	due := w.clock0.Add(time.Duration(dueMillis-1000) * time.Millisecond)
	if longest := time.Now().Add(10 * time.Second); due.After(longest) {
		due = longest
	}
	if due.After(w.due) {
		w.due = due
	}
}

func (w *worker) refuseLocked(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clockLocked(), "reason": reason})
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   uint32 `json:"run"`
		Spec  string `json:"spec"`
		Due   int64  `json:"$due"`
		Fence uint64 `json:"fence"`
		Saved string `json:"saved"`
	}
	if !decode(r.Body, &body) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unhealthy {
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.journal.add("worker %s unhealthy: answers 503 to start of %s run %d", w.name, body.Task, body.Run)
		return
	}
	cpu := w.cpuOf(body.Task)
	used := int64(0)
	for _, other := range w.runs {
		used += other.cpu
	}
	present := w.runs[body.Task]
	switch {
	case w.fencedLocked(body.Fence):
		w.refuseLocked(rw, "fence")
		return
	case body.Due <= w.clockLocked():
		w.refuseLocked(rw, "late")
		return
	case present != nil && present.run == body.Run:
		w.extendLocked(body.Due)
	case body.Run <= w.barred[body.Task] || present != nil:
		w.extendLocked(body.Due)
		w.refuseLocked(rw, "old")
		return
	case w.guards && used+cpu > w.capacity.CPU:
		w.extendLocked(body.Due)
		w.refuseLocked(rw, "room")
		return
	default:
		w.extendLocked(body.Due)
		w.runs[body.Task] = &running{task: body.Task, run: body.Run, started: time.Now(), length: lengthOf(body.Spec), cpu: cpu}
		w.journal.run(runEvent{kind: "start", worker: w.name, task: body.Task, run: body.Run, labels: w.labels, used: used + cpu, capacity: w.capacity.CPU})
		if w.onStart != nil {
			go w.onStart(w, body.Task, body.Run)
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clockLocked()})
}

// lengthOf returns the length of a task's work. A specification "ms=800" works for 0.8 s; "last" lasts.
func lengthOf(spec string) time.Duration {
	text, ok := strings.CutPrefix(spec, "ms=")
	if !ok {
		return 0
	}
	millis, _ := strconv.Atoi(text)
	return time.Duration(millis) * time.Millisecond
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   uint32 `json:"run"`
		Fence uint64 `json:"fence"`
	}
	if !decode(r.Body, &body) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(body.Fence) {
		w.refuseLocked(rw, "fence")
		return
	}
	w.journal.run(runEvent{kind: "stop call", worker: w.name, task: body.Task, run: body.Run})
	w.barred[body.Task] = max(w.barred[body.Task], body.Run)
	if present := w.runs[body.Task]; present != nil && present.run == body.Run {
		w.endLocked(present, "stopped")
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clockLocked()})
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clockLocked()})
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence uint64 `json:"fence"`
		Acked uint64 `json:"$acked"`
		Due   int64  `json:"$due"`
		Wait  int64  `json:"waitMs"`
	}
	if !decode(r.Body, &body) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fencedLocked(body.Fence) {
		w.refuseLocked(rw, "fence")
		return
	}
	born := w.born
	w.extendLocked(body.Due)
	if body.Acked > w.acked {
		w.acked = body.Acked
		for len(w.ends) > 0 && w.ends[0].number <= w.acked {
			w.ends = w.ends[1:]
		}
	}
	deadline := time.Now().Add(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(deadline) && w.up && w.born == born {
		wake := w.wake
		w.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-wake:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
	}
	if !w.up || w.born != born {
		panic(http.ErrAbortHandler)
	}
	runs := make([][]any, 0, len(w.runs))
	for _, run := range w.runs {
		percent := 100
		if run.length > 0 {
			percent = min(99, int(100*time.Since(run.started)/run.length))
		}
		figure := run.cpu
		if run.length == 0 {
			figure = lastingLatency
		}
		runs = append(runs, []any{run.task, run.run, "", percent, figure})
	}
	ends := make([][]any, 0, len(w.ends))
	for _, end := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{end.number, end.task, end.run, end.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clockLocked(), "born": w.born, "running": runs, "ended": ends})
}

// restart crashes the worker and starts it again after a pause.
func (w *worker) restart(pause time.Duration) {
	w.crash()
	time.Sleep(pause)
	if err := w.boot(); err != nil {
		w.journal.add("worker %s can't start again: %s", w.name, err)
	}
}

func (w *worker) String() string { return fmt.Sprintf("%s (%s)", w.name, w.id) }
