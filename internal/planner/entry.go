package planner

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
)

// entry is one job with its progress.
type entry struct {
	spec     *job.Spec
	progress *job.Progress
	// revision is the store's revision of the progress record, or zero if there is none.
	revision store.Revision
	runs     [][]run
	// steps counts the tasks of each step by phase, and waiting and assigned those of the whole job.
	steps    []stepState
	waiting  int
	assigned int
	// idleSince is since when no task of the job is assigned; it means nothing while one is.
	idleSince time.Duration
	// ranked is the rank that was worked out last, and rankedAt when.
	ranked   rank
	rankedAt time.Duration
	// shown is the state that callers see: the last committed one.
	shown job.State
	// startedAny is set once a task of the job has begun.
	startedAny bool
	// knownSince is when the planner learned of the job.
	knownSince time.Duration
	// handedIn is when the job was handed in; it may lie before the planner's first moment.
	handedIn time.Duration

	dirty    bool
	inFlight bool
	// effects are released by the next commit of the job.
	effects []effect
}

// stepState counts the tasks of one step.
type stepState struct {
	waiting int
	done    int
	// triedAt is the number of the first change of a worker after which the step was not tried yet.
	triedAt uint64
}

// run is what the planner remembers of the current run of one task.
type run struct {
	// ordered is set once a start order may have left; the run may then exist on the worker.
	ordered bool
	// stopping is set once the run was told to stop.
	stopping bool
	// startedAt is when the first start order of the run was sent.
	startedAt time.Duration
	// orderAt is when the latest order about the run was sent.
	orderAt time.Duration
	// seen is set once the agent has reported the run.
	seen    bool
	percent uint8
	// load is the own load of a run with a latency target, or zero if it was not reported.
	load float64
	// waitingSince is when the task last became ready to be placed.
	waitingSince time.Duration
	// avoid is the agent on which the previous run failed.
	avoid string
}

// loadOr returns the own load of the run, or the given one if it was not reported.
func (r *run) loadOr(unknown float64) float64 {
	if r.load == 0 {
		return unknown
	}
	return r.load
}

func newEntry(spec *job.Spec, progress *job.Progress, revision store.Revision, now time.Duration) *entry {
	e := &entry{spec: spec, progress: progress, revision: revision, shown: progress.State, knownSince: now}
	e.runs = make([][]run, len(spec.Steps))
	e.steps = make([]stepState, len(spec.Steps))
	for step := range spec.Steps {
		e.runs[step] = make([]run, spec.Steps[step].Count)
		for index := range progress.Steps[step] {
			e.count(step, progress.Steps[step][index].Phase, 1)
		}
	}
	return e
}

// count adds to the number of a step's tasks in a phase.
func (e *entry) count(step int, phase job.Phase, change int) {
	switch phase {
	case job.PhaseWaiting:
		e.steps[step].waiting += change
		e.waiting += change
	case job.PhaseAssigned:
		e.assigned += change
	case job.PhaseDone:
		e.steps[step].done += change
	}
}

// setPhase moves a task to a phase.
func (e *entry) setPhase(r ref, phase job.Phase) {
	task := r.task()
	e.count(r.step, task.Phase, -1)
	task.Phase = phase
	e.count(r.step, phase, 1)
}

// starts reports whether the next record of the job starts a task.
func (e *entry) starts() bool {
	for i := range e.effects {
		if e.effects[i].start.entry != nil {
			return true
		}
	}
	return false
}

// ready reports whether the tasks of the step may run: all steps that it depends on are done.
func (e *entry) ready(step int) bool {
	for _, earlier := range e.spec.Steps[step].After {
		if e.steps[earlier].done < e.spec.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// allDone reports whether all tasks of the job are done.
func (e *entry) allDone() bool {
	for step := range e.steps {
		if e.steps[step].done < e.spec.Steps[step].Count {
			return false
		}
	}
	return true
}

// task returns the record and the run of a task, or false if the job has no such task.
func (e *entry) task(step, index int) (*job.Task, *run, bool) {
	if step >= len(e.progress.Steps) || index >= len(e.progress.Steps[step]) {
		return nil, nil, false
	}
	return &e.progress.Steps[step][index], &e.runs[step][index], true
}

// ref names one task of one job.
type ref struct {
	entry *entry
	step  int
	index int
}

func (r ref) task() *job.Task { return &r.entry.progress.Steps[r.step][r.index] }
func (r ref) run() *run       { return &r.entry.runs[r.step][r.index] }
func (r ref) definition() *job.Step {
	return &r.entry.spec.Steps[r.step]
}

func (r ref) name() string {
	return job.TaskName{Job: r.entry.spec.ID, Step: r.step, Index: r.index}.String()
}
