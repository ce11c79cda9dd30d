package jobs

import (
	"fmt"
	"sync"
	"time"

	"clementineflow/internal/job"
)

// ledger records what happens on all workers and which promises are broken.
type ledger struct {
	mu sync.Mutex
	// running holds the workers on which a task runs.
	running map[string]map[string]bool
	// lastStart is when a task last started, doneAt when a run of it first ended as done.
	lastStart map[string]time.Time
	doneAt    map[string]time.Time
	// runDoneAt is when each run ended as done.
	runDoneAt map[runKey]time.Time
	// noted marks the tasks of which a done end was confirmed.
	noted  map[string]bool
	failed map[string]int
	starts int
	// startsOn counts the starts by worker.
	startsOn map[string]int
	broken   []string
	// specs holds the jobs by id, cancelled the ids of which the cancellation was acknowledged.
	specs     map[string]*job.Spec
	cancelled map[string]time.Time
	zonesOut  map[string]time.Time
	zoneOf    map[string]string
}

// runKey names one run of a task.
type runKey struct {
	task string
	run  uint32
}

func newLedger() *ledger {
	return &ledger{
		running: map[string]map[string]bool{}, lastStart: map[string]time.Time{}, doneAt: map[string]time.Time{},
		runDoneAt: map[runKey]time.Time{}, startsOn: map[string]int{},
		noted: map[string]bool{}, failed: map[string]int{}, specs: map[string]*job.Spec{},
		cancelled: map[string]time.Time{}, zonesOut: map[string]time.Time{}, zoneOf: map[string]string{},
	}
}

func (l *ledger) breakf(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Started implements jobworker.Observer.
func (l *ledger) Started(worker, task string, run uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	l.startsOn[worker]++
	l.lastStart[task] = time.Now()
	if l.running[task] == nil {
		l.running[task] = map[string]bool{}
	}
	if len(l.running[task]) > 0 {
		l.breakf("%s run %d starts on %s while it runs on %v", task, run, worker, l.running[task])
	}
	l.running[task][worker] = true
	if l.noted[task] {
		l.breakf("%s run %d starts on %s after its end was noted", task, run, worker)
	}
	l.checkOrder(task)
	l.checkOperator(worker, task)
}

// checkOrder guards the order of a job's steps.
func (l *ledger) checkOrder(task string) {
	name, err := job.ParseTaskName(task)
	spec := l.specs[name.Job]
	if err != nil || spec == nil {
		l.breakf("%s starts, which nobody handed in", task)
		return
	}
	for _, earlier := range spec.Steps[name.Step].After {
		for index := range spec.Steps[earlier].Count {
			before := job.TaskName{Job: name.Job, Step: earlier, Index: index}.String()
			if _, ok := l.doneAt[before]; !ok {
				l.breakf("%s starts before %s is done", task, before)
			}
		}
	}
}

// Bounds within which a decision of a caller or an operator must be in force.
const (
	cancelBound = 3 * time.Second
	zoneBound   = 5 * time.Second
)

// checkOperator guards cancelled jobs and zones out of service.
func (l *ledger) checkOperator(worker, task string) {
	name, _ := job.ParseTaskName(task)
	if at, ok := l.cancelled[name.Job]; ok && time.Since(at) > cancelBound {
		l.breakf("%s starts %s after its cancellation", task, time.Since(at))
	}
	if at, ok := l.zonesOut[l.zoneOf[worker]]; ok && time.Since(at) > zoneBound {
		l.breakf("%s starts on %s %s after its zone was taken out", task, worker, time.Since(at))
	}
}

// Ended implements jobworker.Observer.
func (l *ledger) Ended(worker, task string, run uint32, outcome job.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], worker)
	if outcome == job.OutcomeDone {
		l.runDoneAt[runKey{task, run}] = time.Now()
		if _, ok := l.doneAt[task]; !ok {
			l.doneAt[task] = time.Now()
		}
	}
}

// Confirmed implements jobworker.Observer.
func (l *ledger) Confirmed(_, task string, run uint32, outcome job.Outcome, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An end that outlived its worker's lease may be followed by another run.
	if outcome != job.OutcomeDone || lapsed {
		return
	}
	l.noted[task] = true
	if l.lastStart[task].After(l.runDoneAt[runKey{task, run}]) {
		l.breakf("the end of %s run %d is noted although the task started again after it", task, run)
	}
}

// started returns the number of starts.
func (l *ledger) started() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}
