package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 10 * time.Second
	stopTime          = 50 * time.Millisecond
	checkInterval     = 5 * time.Millisecond
)

// taskPlan is what a task does when it runs on a sound worker.
type taskPlan struct {
	// work is how long a run takes; zero means that it runs until it is stopped.
	work time.Duration
	// fails is set if a run ends failed after work.
	fails bool
	cpu   int64
}

type workerRun struct {
	task     string
	run      uint64
	began    time.Time
	plan     taskPlan
	saved    string
	stopping time.Time
}

type endRow struct {
	number uint64
	task   string
	run    uint64
	how    string
	saved  string
}

// worker is a stand-in for one worker, which keeps its identity until it crashes.
type worker struct {
	id      string
	name    string
	zone    string
	service string
	address string
	control string
	cpu     int64
	plan    func(task string) taskPlan
	record  *recorder

	mu       sync.Mutex
	born     time.Time
	crashed  bool
	sequence uint64
	fence    uint64
	due      time.Duration
	runs     map[string]*workerRun
	ends     []endRow
	lastEnd  uint64
	highest  map[string]uint64
	ended    chan struct{}
	server   *http.Server
}

// startWorker starts one life of a worker.
func startWorker(w *worker) error {
	w.mu.Lock()
	w.born, w.crashed, w.sequence, w.fence, w.due, w.lastEnd = time.Now(), false, 0, 0, 0, 0
	w.runs, w.ends, w.highest, w.ended = map[string]*workerRun{}, nil, map[string]uint64{}, make(chan struct{})
	w.mu.Unlock()
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.StartRun, w.handleStart)
	mux.HandleFunc("POST "+wire.StopRun, w.handleStop)
	mux.HandleFunc("POST /hold", w.handleHold)
	mux.HandleFunc("POST /pace", w.handlePace)
	server := &http.Server{Handler: mux}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.work(server)
	go w.sendHeartbeats(server)
	w.record.event("worker %s (%s) up, born %d", w.name, w.id, w.born.UnixMilli())
	return nil
}

// crash ends the worker at once: its connections are closed, and nothing listens at its address any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	server := w.server
	for _, r := range w.runs {
		w.record.ended(w.name, r.task, r.run, "lost with its worker")
	}
	w.mu.Unlock()
	_ = server.Close()
	w.record.event("worker %s (%s) crashed", w.name, w.id)
}

func (w *worker) currentLocked(server *http.Server) bool { return w.server == server && !w.crashed }

func (w *worker) clockLocked() time.Duration { return time.Since(w.born) + time.Second }

// work ends runs that are done, stopped, or whose lease has ended.
func (w *worker) work(server *http.Server) {
	for range time.Tick(checkInterval) {
		w.mu.Lock()
		if !w.currentLocked(server) {
			w.mu.Unlock()
			return
		}
		lapsed := w.clockLocked() > w.due
		for _, r := range w.runs {
			took := time.Since(r.began)
			switch {
			case lapsed:
				w.endLocked(r, "lapsed")
			case !r.stopping.IsZero() && time.Now().After(r.stopping):
				w.endLocked(r, "stopped")
			case r.plan.work > 0 && took >= r.plan.work && r.plan.fails:
				w.endLocked(r, "failed")
			case r.plan.work > 0 && took >= r.plan.work:
				w.endLocked(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endLocked(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r.task, r.run, how, ""})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.record.ended(w.name, r.task, r.run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *worker) sendHeartbeats(server *http.Server) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if !w.currentLocked(server) {
			w.mu.Unlock()
			return
		}
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "capacity": map[string]any{"cpu": w.cpu, wire.Memory: 64000, "gpu": 0}, "labels": []string{"a", "r1"},
			"clockMs": w.clockLocked().Milliseconds(), "seq": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		response, err := client.Post(fmt.Sprintf("http://%s/servers/%s/heartbeat", w.control, w.id), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

type workerCall struct {
	Task   string `json:"task"`
	Run    uint64 `json:"run"`
	Fence  uint64 `json:"fence"`
	Saved  string `json:"saved"`
	WaitMs int64  `json:"waitMs"`
	// dueMillis is the end of the lease, and confirmedUpTo the number of the last end that is taken note of.
	dueMillis     int64
	confirmedUpTo uint64
}

func decodeWorkerCall(r *http.Request) (call workerCall, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return call, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return call, err
	}
	if raw, ok := fields[wire.LeaseEnd]; ok {
		if err := json.Unmarshal(raw, &call.dueMillis); err != nil {
			return call, err
		}
	}
	if raw, ok := fields[wire.ConfirmedUpTo]; ok {
		if err := json.Unmarshal(raw, &call.confirmedUpTo); err != nil {
			return call, err
		}
	}
	return call, json.Unmarshal(data, &call)
}

// receive decodes a call and answers it if it is not for this worker or its fence is too low. Otherwise it returns with
// the worker locked.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request) (call workerCall, ok bool) {
	call, err := decodeWorkerCall(r)
	if err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return call, false
	}
	if instance := r.Header.Get("Clementineflow-Expect-Instance"); instance != "" && instance != w.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return call, false
	}
	w.mu.Lock()
	if w.crashed {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if call.Fence < w.fence {
		w.refuseLocked(rw, "fence")
		w.mu.Unlock()
		return call, false
	}
	w.fence = call.Fence
	return call, true
}

func (w *worker) refuseLocked(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clockLocked().Milliseconds(), "reason": reason})
}

func (w *worker) acceptLocked(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clockLocked().Milliseconds()})
}

// extendLocked extends the lease; it never shortens it, and bounds it by maxLease.
func (w *worker) extendLocked(dueMillis int64) {
	due := min(time.Duration(dueMillis)*time.Millisecond, w.clockLocked()+maxLease)
	w.due = max(w.due, due)
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if time.Duration(call.dueMillis)*time.Millisecond <= w.clockLocked() {
		w.refuseLocked(rw, "late")
		return
	}
	w.extendLocked(call.dueMillis)
	if old := w.runs[call.Task]; old != nil && old.run == call.Run {
		w.acceptLocked(rw)
		return
	}
	if call.Run <= w.highest[call.Task] || w.runs[call.Task] != nil {
		w.refuseLocked(rw, "old")
		return
	}
	plan := w.plan(call.Task)
	used := int64(0)
	for _, running := range w.runs {
		used += running.plan.cpu
	}
	if used+plan.cpu > w.cpu {
		w.refuseLocked(rw, "room")
		return
	}
	w.runs[call.Task] = &workerRun{task: call.Task, run: call.Run, began: time.Now(), plan: plan, saved: call.Saved}
	w.record.started(w.name, call.Task, call.Run)
	w.acceptLocked(rw)
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if running := w.runs[call.Task]; running != nil && running.run <= call.Run && running.stopping.IsZero() {
		running.stopping = time.Now().Add(stopTime)
	}
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	w.acceptLocked(rw)
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	_, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.acceptLocked(rw)
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	call, ok := w.receive(rw, r)
	if !ok {
		return
	}
	if call.dueMillis > 0 {
		w.extendLocked(call.dueMillis)
	}
	kept := []endRow{}
	for _, end := range w.ends {
		if end.number > call.confirmedUpTo {
			kept = append(kept, end)
		}
	}
	w.ends = kept
	ended := w.ended
	if wait := min(call.WaitMs, 2000); wait > 0 && len(w.ends) == 0 {
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	if w.crashed {
		panic(http.ErrAbortHandler)
	}
	running, listed := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, "", percentOf(run), 0})
	}
	for _, end := range w.ends[:min(len(w.ends), 500)] {
		listed = append(listed, []any{end.number, end.task, end.run, end.how, end.saved})
	}
	reply(rw, http.StatusOK, map[string]any{
		"clockMs": w.clockLocked().Milliseconds(), "running": running, "ended": listed, "born": w.born.UnixMilli(),
	})
}

func percentOf(r *workerRun) int {
	if r.plan.work == 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.began)/r.plan.work))
}

// isRunning reports whether the task runs on the worker.
func (w *worker) isRunning(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.crashed && w.runs[task] != nil
}

// runCount returns the number of runs on the worker.
func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return 0
	}
	return len(w.runs)
}

// failRun makes the run of a task on this worker end as failed, and reports whether there was one.
func (w *worker) failRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := w.runs[task]
	if w.crashed || running == nil {
		return false
	}
	w.endLocked(running, "failed")
	return true
}
