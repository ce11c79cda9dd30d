package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
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

// line is a line of the record.
type line struct {
	at   time.Duration
	text string
}

// journal records what was sent, answered and run.
type journal struct {
	began time.Time
	mu    sync.Mutex
	lines []line
	runs  []runEvent
	// kept holds the submissions whose runs are recorded one by one, however many there are.
	kept map[string]bool
}

// maxRunLines is the number of events of runs up to which each has a line. Beyond it they are summed up by submission.
const maxRunLines = 4000

func newJournal() *journal { return &journal{began: time.Now(), kept: map[string]bool{}} }

func (j *journal) now() time.Duration { return time.Since(j.began) }

// add records a line.
func (j *journal) add(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line{at: j.now(), text: text})
}

// keep makes the runs of a submission be recorded one by one.
func (j *journal) keep(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kept[id] = true
}

// run records an event of a run.
func (j *journal) run(e runEvent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.at = j.now()
	j.runs = append(j.runs, e)
}

func (e *runEvent) String() string {
	text := fmt.Sprintf("worker %s: %s of %s run %d", e.worker, e.kind, e.task, e.run)
	switch e.kind {
	case "end":
		text += fmt.Sprintf(", %s, listed as %d", e.how, e.number)
	case "start":
		text += fmt.Sprintf(", %d of %d used", e.used, e.capacity)
	}
	return text
}

// runLines returns the lines of the runs, and the sums of those that have no line of their own.
func (j *journal) runLines() (lines []line, sums []string) {
	counts := map[string]map[string]int{}
	for i := range j.runs {
		e := &j.runs[i]
		id, _, _ := strings.Cut(e.task, ".")
		if len(j.runs) <= maxRunLines || j.kept[id] {
			lines = append(lines, line{at: e.at, text: e.String()})
			continue
		}
		if counts[id] == nil {
			counts[id] = map[string]int{}
		}
		counts[id][strings.TrimSpace(e.kind+" "+e.how)]++
	}
	for id, kinds := range counts {
		text := fmt.Sprint(kinds)
		sums = append(sums, "          runs of "+id+": "+strings.TrimPrefix(text, "map"))
	}
	slices.Sort(sums)
	return lines, sums
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
	lines, sums := j.runLines()
	lines = append(lines, j.lines...)
	slices.SortStableFunc(lines, func(x, y line) int { return cmp.Compare(x.at, y.at) })
	var text strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&text, "%8.3f  %s\n", l.at.Seconds(), l.text)
	}
	for _, sum := range sums {
		text.WriteString(sum + "\n")
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
