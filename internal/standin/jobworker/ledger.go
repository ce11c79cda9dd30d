package jobworker

import (
	"fmt"
	"sync"
	"time"

	"clementineflow/internal/job"
)

// Ledger records what happens on all workers and which promises are broken.
type Ledger struct {
	// Mu guards all fields.
	Mu sync.Mutex
	// Running holds the workers on which a task runs.
	Running map[string]map[string]bool
	// LastStart is when a task last started, DoneAt when a run of it first ended as done.
	LastStart map[string]time.Time
	DoneAt    map[string]time.Time
	// runDoneAt is when each run ended as done.
	runDoneAt map[runKey]time.Time
	// noted marks the tasks of which a done end was confirmed.
	noted  map[string]bool
	failed map[string]int
	starts int
	// StartsOn counts the starts by worker.
	StartsOn map[string]int
	// Broken lists the broken promises.
	Broken []string
	// Specs holds the jobs by id, Cancelled when the cancellation of a job was acknowledged.
	Specs     map[string]*job.Spec
	Cancelled map[string]time.Time
	// ZonesOut holds since when each zone is out of service, ZoneOf the zone of each worker.
	ZonesOut map[string]time.Time
	ZoneOf   map[string]string
}

// runKey names one run of a task.
type runKey struct {
	task string
	run  uint32
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		Running: map[string]map[string]bool{}, LastStart: map[string]time.Time{}, DoneAt: map[string]time.Time{},
		runDoneAt: map[runKey]time.Time{}, StartsOn: map[string]int{},
		noted: map[string]bool{}, failed: map[string]int{}, Specs: map[string]*job.Spec{},
		Cancelled: map[string]time.Time{}, ZonesOut: map[string]time.Time{}, ZoneOf: map[string]string{},
	}
}

func (l *Ledger) breakf(format string, args ...any) {
	l.Broken = append(l.Broken, fmt.Sprintf(format, args...))
}

// Started implements jobworker.Observer.
func (l *Ledger) Started(worker, task string, run uint32) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	l.starts++
	l.StartsOn[worker]++
	l.LastStart[task] = time.Now()
	if l.Running[task] == nil {
		l.Running[task] = map[string]bool{}
	}
	if len(l.Running[task]) > 0 {
		l.breakf("%s run %d starts on %s while it runs on %v", task, run, worker, l.Running[task])
	}
	l.Running[task][worker] = true
	if l.noted[task] {
		l.breakf("%s run %d starts on %s after its end was noted", task, run, worker)
	}
	l.checkOrder(task)
	l.checkOperator(worker, task)
}

// checkOrder guards the order of a job's steps.
func (l *Ledger) checkOrder(task string) {
	name, err := job.ParseTaskName(task)
	spec := l.Specs[name.Job]
	if err != nil || spec == nil {
		l.breakf("%s starts, which nobody handed in", task)
		return
	}
	for _, earlier := range spec.Steps[name.Step].After {
		for index := range spec.Steps[earlier].Count {
			before := job.TaskName{Job: name.Job, Step: earlier, Index: index}.String()
			if _, ok := l.DoneAt[before]; !ok {
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
func (l *Ledger) checkOperator(worker, task string) {
	name, _ := job.ParseTaskName(task)
	if at, ok := l.Cancelled[name.Job]; ok && time.Since(at) > cancelBound {
		l.breakf("%s starts %s after its cancellation", task, time.Since(at))
	}
	if at, ok := l.ZonesOut[l.ZoneOf[worker]]; ok && time.Since(at) > zoneBound {
		l.breakf("%s starts on %s %s after its zone was taken out", task, worker, time.Since(at))
	}
}

// Ended implements jobworker.Observer.
func (l *Ledger) Ended(worker, task string, run uint32, outcome job.Outcome) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	delete(l.Running[task], worker)
	if outcome == job.OutcomeDone {
		l.runDoneAt[runKey{task, run}] = time.Now()
		if _, ok := l.DoneAt[task]; !ok {
			l.DoneAt[task] = time.Now()
		}
	}
}

// Confirmed implements jobworker.Observer.
func (l *Ledger) Confirmed(_, task string, run uint32, outcome job.Outcome, lapsed bool) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	// An end that outlived its worker's lease may be followed by another run.
	if outcome != job.OutcomeDone || lapsed {
		return
	}
	l.noted[task] = true
	if l.LastStart[task].After(l.runDoneAt[runKey{task, run}]) {
		l.breakf("the end of %s run %d is noted although the task started again after it", task, run)
	}
}

// Starts returns the number of starts.
func (l *Ledger) Starts() int {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	return l.starts
}
