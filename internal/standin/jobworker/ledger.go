package jobworker

import (
	"fmt"
	"sync"
	"time"

	"clementineflow/internal/job"
)

// EventRecorder records the events of all workers and the violations of the scheduler's guarantees.
type EventRecorder struct {
	// Mu guards all fields.
	Mu sync.Mutex
	// Running holds the workers on which a task runs.
	Running map[string]map[string]bool
	// LastStart is when each task last started, DoneAt when a run of it first ended as done.
	LastStart map[string]time.Time
	DoneAt    map[string]time.Time
	// runDoneAt is when each run ended as done.
	runDoneAt map[runKey]time.Time
	// doneConfirmed holds the tasks whose end as done was confirmed before the worker's lease ended.
	doneConfirmed map[string]bool
	failed        map[string]int
	// crashes counts the crashes of workers by the task that ran there.
	crashes map[string]int
	starts  int
	// StartsOn counts the starts by worker.
	StartsOn map[string]int
	// Violations lists the violations, one message each.
	Violations []string
	// Specs holds the submitted jobs by ID, Cancelled when the cancellation of a job was acknowledged.
	Specs     map[string]*job.Spec
	Cancelled map[string]time.Time
	// ZonesOut holds since when each zone is out of service, ZoneOf the zone of each worker by its ID.
	ZonesOut map[string]time.Time
	ZoneOf   map[string]string
}

// runKey identifies one run of a task.
type runKey struct {
	task string
	run  uint32
}

// NewEventRecorder returns a recorder without events.
func NewEventRecorder() *EventRecorder {
	return &EventRecorder{
		Running: map[string]map[string]bool{}, LastStart: map[string]time.Time{}, DoneAt: map[string]time.Time{},
		runDoneAt: map[runKey]time.Time{}, StartsOn: map[string]int{},
		doneConfirmed: map[string]bool{}, failed: map[string]int{}, crashes: map[string]int{}, Specs: map[string]*job.Spec{},
		Cancelled: map[string]time.Time{}, ZonesOut: map[string]time.Time{}, ZoneOf: map[string]string{},
	}
}

func (l *EventRecorder) addViolationf(format string, args ...any) {
	l.Violations = append(l.Violations, fmt.Sprintf(format, args...))
}

// Started implements jobworker.Observer.
func (l *EventRecorder) Started(worker, task string, run uint32) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	l.starts++
	l.StartsOn[worker]++
	l.LastStart[task] = time.Now()
	if l.Running[task] == nil {
		l.Running[task] = map[string]bool{}
	}
	if len(l.Running[task]) > 0 {
		l.addViolationf("%s run %d started on %s while the task was running on %v", task, run, worker, l.Running[task])
	}
	l.Running[task][worker] = true
	if l.doneConfirmed[task] {
		l.addViolationf("%s run %d started on %s after the end of the task was confirmed", task, run, worker)
	}
	l.checkStepOrderLocked(task)
	l.checkCancellationsAndZonesLocked(worker, task)
}

// checkStepOrderLocked records a violation if a task starts before all earlier steps of its job are done.
func (l *EventRecorder) checkStepOrderLocked(task string) {
	name, err := job.ParseTaskName(task)
	spec := l.Specs[name.Job]
	if err != nil || spec == nil {
		l.addViolationf("%s started, but no job with it was submitted", task)
		return
	}
	for _, earlier := range spec.Steps[name.Step].After {
		for index := range spec.Steps[earlier].Count {
			before := job.TaskName{Job: name.Job, Step: earlier, Index: index}.String()
			if _, ok := l.DoneAt[before]; !ok {
				l.addViolationf("%s started before %s was done", task, before)
			}
		}
	}
}

// Deadlines by which a cancellation and the removal of a zone from service must take effect.
const (
	cancelDeadline = 3 * time.Second
	zoneDeadline   = 5 * time.Second
)

// checkCancellationsAndZonesLocked records a violation if a task of a cancelled job or a task in a zone out of
// service starts after the deadline.
func (l *EventRecorder) checkCancellationsAndZonesLocked(worker, task string) {
	name, _ := job.ParseTaskName(task)
	if at, ok := l.Cancelled[name.Job]; ok && time.Since(at) > cancelDeadline {
		l.addViolationf("%s started %s after its cancellation", task, time.Since(at))
	}
	if at, ok := l.ZonesOut[l.ZoneOf[worker]]; ok && time.Since(at) > zoneDeadline {
		l.addViolationf("%s started on %s %s after its zone was taken out of service", task, worker, time.Since(at))
	}
}

// Ended implements jobworker.Observer.
func (l *EventRecorder) Ended(worker, task string, run uint32, outcome job.Outcome) {
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
func (l *EventRecorder) Confirmed(_, task string, run uint32, outcome job.Outcome, leaseExpired bool) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	// If the lease ended before the end was confirmed, another run of the task may have started.
	if outcome != job.OutcomeDone || leaseExpired {
		return
	}
	l.doneConfirmed[task] = true
	if l.LastStart[task].After(l.runDoneAt[runKey{task, run}]) {
		l.addViolationf("the end of %s run %d was confirmed although the task had started again after it", task, run)
	}
}

// Crashed implements jobworker.Observer.
func (l *EventRecorder) Crashed(_, task string, _ uint32) {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	l.crashes[task]++
}

// minCrashesToGiveUp is the number of workers that must have crashed under a task before its job may be given up.
const minCrashesToGiveUp = 2

// MayBeGivenUp reports whether enough workers have crashed under one task of the job for it to be given up.
func (l *EventRecorder) MayBeGivenUp(id string) bool {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	for task, count := range l.crashes {
		if name, err := job.ParseTaskName(task); err == nil && name.Job == id && count >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// Starts returns the number of starts on all workers.
func (l *EventRecorder) Starts() int {
	l.Mu.Lock()
	defer l.Mu.Unlock()
	return l.starts
}
