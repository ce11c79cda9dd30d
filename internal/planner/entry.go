package planner

import (
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/urgency"
)

// entry holds the specification, the recorded progress and the runtime state of one job.
type entry struct {
	spec     *job.Spec
	progress *job.Progress
	// revision is the store's revision of the progress record, or zero if there is none.
	revision store.Revision
	runs     [][]run
	// steps counts the tasks of each step by phase; waiting and assigned count those of the whole job.
	steps    []stepState
	waiting  int
	assigned int
	// idleSince is the time since which no task of the job is assigned. It is only valid if assigned is 0.
	idleSince time.Duration
	// cachedRank is the rank computed at cachedRankAt.
	cachedRank   urgency.Rank
	cachedRankAt time.Duration
	// cachedObjective is the objective of the job as of cachedRankAt, or zero if it has none.
	cachedObjective time.Duration
	// progressAt is when a start of one of the job's runs was last ordered for the first time or a task was last completed,
	// or when the job was added to the planner.
	progressAt time.Duration
	// holdTriedAt is when a worker to hold for the job was last looked for.
	holdTriedAt time.Duration
	// published is the last committed state, which is visible to callers.
	published job.State
	// hasStarted is set once a run of the job was ordered.
	hasStarted bool
	// addedAt is when the job was added to the planner.
	addedAt time.Duration
	// submittedAt is when the job was submitted. It may be before the start of the planner's term.
	submittedAt time.Duration

	// heldBytes is the part of the job in the planner's usage.
	heldBytes int64

	dirty    bool
	inFlight bool
	// effects are applied after the next commit of the job.
	effects []effect
	// longRunning holds the state of the tasks of long-running steps. It is nil if the job has none.
	longRunning [][]longRunningTask
}

// stepState counts the waiting and done tasks of one step.
type stepState struct {
	waiting int
	done    int
	// nextChange is the number of the first worker change for which the step was not tried yet.
	nextChange uint64
}

// run is the state of a task's current run that is not stored.
type run struct {
	// ordered is set once a start order may have been sent; the run may then exist on the worker.
	ordered bool
	// stopping is set once a stop order was sent.
	stopping bool
	// startedAt is when the first start order of the run was sent.
	startedAt time.Duration
	// orderAt is when the latest order for the run was sent.
	orderAt time.Duration
	// reported is set once the agent has reported the run.
	reported bool
	percent  uint8
	// load is the load that a run with a latency target causes itself, or zero if it was not reported.
	load float64
	// waitingSince is when the planner first tried to assign the run, or zero before that.
	waitingSince time.Duration
	// probationEnds is until when a suspected task runs alone, or zero if it is not suspected.
	probationEnds time.Duration
	// avoid is the agent whose worker gets a lower score for the next run, as the previous run failed, was
	// refused or was moved away there.
	avoid string
	// crashedOn is the agent whose worker's latest crash was blamed on the task.
	crashedOn string
	// yielded is where the previous run was stopped because it was throttled.
	yielded yieldedRun
	// keptPaused is set once it was logged that the paused run stays where it is.
	keptPaused bool
}

// loadOr returns the reported load of the run, or unknown if none was reported.
func (r *run) loadOr(unknown float64) float64 {
	if r.load == 0 {
		return unknown
	}
	return r.load
}

func newEntry(spec *job.Spec, progress *job.Progress, revision store.Revision, now time.Duration) *entry {
	e := &entry{spec: spec, progress: progress, revision: revision, published: progress.State, addedAt: now}
	e.runs = make([][]run, len(spec.Steps))
	e.steps = make([]stepState, len(spec.Steps))
	for step := range spec.Steps {
		e.runs[step] = make([]run, spec.Steps[step].Count)
		for index := range progress.Steps[step] {
			e.count(step, progress.Steps[step][index].Phase, 1)
		}
	}
	e.longRunning = newLongRunningTasks(spec, now)
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

// startsTask reports whether the next record of the job starts a task.
func (e *entry) startsTask() bool {
	for i := range e.effects {
		if e.effects[i].start.entry != nil {
			return true
		}
	}
	return false
}

// awaitsStart reports whether a task is assigned whose start was not ordered yet.
func (e *entry) awaitsStart() bool {
	for step := range e.runs {
		for index := range e.runs[step] {
			if e.progress.Steps[step][index].Phase == job.PhaseAssigned && !e.runs[step][index].ordered {
				return true
			}
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

// task returns the record and the run state of a task, or false if the job has no such task.
func (e *entry) task(step, index int) (*job.Task, *run, bool) {
	if step >= len(e.progress.Steps) || index >= len(e.progress.Steps[step]) {
		return nil, nil, false
	}
	return &e.progress.Steps[step][index], &e.runs[step][index], true
}

// ref identifies one task of one job.
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
