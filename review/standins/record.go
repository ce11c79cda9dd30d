package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// taskHistory is what the workers have seen of one task.
type taskHistory struct {
	starts  int
	running map[string]bool
	ends    map[string]int
	lastEnd time.Time
}

// recorder writes the record of a case and keeps what the workers have seen of each task.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	tasks map[string]*taskHistory
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), tasks: map[string]*taskHistory{}}, nil
}

// event writes one line with the time since the start of the case.
func (r *recorder) event(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventLocked(format, values...)
}

func (r *recorder) eventLocked(format string, values ...any) {
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) taskLocked(task string) *taskHistory {
	if r.tasks[task] == nil {
		r.tasks[task] = &taskHistory{running: map[string]bool{}, ends: map[string]int{}}
	}
	return r.tasks[task]
}

func (r *recorder) started(worker, task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.taskLocked(task)
	t.starts++
	t.running[worker] = true
	r.eventLocked("run   %s run %d started on %s", task, run, worker)
}

func (r *recorder) ended(worker, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.taskLocked(task)
	delete(t.running, worker)
	t.ends[how]++
	t.lastEnd = time.Now()
	r.eventLocked("run   %s run %d ended on %s: %s", task, run, worker, how)
}

// endsOf returns how often runs of the task have ended in the given way.
func (r *recorder) endsOf(task, how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks[task] == nil {
		return 0
	}
	return r.tasks[task].ends[how]
}

// isRunning reports whether a run of the task is on a worker.
func (r *recorder) isRunning(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[task] != nil && len(r.tasks[task].running) > 0
}

// summary writes what the workers have seen of each task.
func (r *recorder) summary() {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.tasks))
	for name := range r.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := r.tasks[name]
		r.eventLocked("total %s: %d starts, ends %v, running on %d workers", name, t.starts, t.ends, len(t.running))
	}
}
