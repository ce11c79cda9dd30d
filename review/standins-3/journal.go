package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// runEvent is what a worker has seen of a run.
type runEvent struct {
	at       time.Duration
	kind     string
	worker   string
	task     string
	run      uint32
	how      string
	number   uint64
	labels   []string
	used     int64
	capacity int64
}

// journal records what was sent, answered and run.
type journal struct {
	began time.Time
	mu    sync.Mutex
	lines []string
	runs  []runEvent
}

func newJournal() *journal { return &journal{began: time.Now()} }

func (j *journal) now() time.Duration { return time.Since(j.began) }

// add records a line.
func (j *journal) add(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f  ", j.now().Seconds()) + fmt.Sprintf(format, arguments...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// run records an event of a run.
func (j *journal) run(e runEvent) {
	e.at = j.now()
	text := fmt.Sprintf("worker %s: %s of %s run %d", e.worker, e.kind, e.task, e.run)
	switch e.kind {
	case "end":
		text += fmt.Sprintf(", %s, listed as %d", e.how, e.number)
	case "start":
		text += fmt.Sprintf(", %d of %d used", e.used, e.capacity)
	}
	j.add("%s", text)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, e)
}

// events returns the events of runs so far.
func (j *journal) events() []runEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]runEvent(nil), j.runs...)
}

// write writes the record.
func (j *journal) write(path string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(j.lines, "\n")+"\n"), 0o644)
}
