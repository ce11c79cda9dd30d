package planner

import (
	"slices"
	"strings"
	"time"

	"clementineflow/internal/backlog"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
	"clementineflow/internal/urgency"
)

// Options select behaviour of a Planner. The zero value is the default behaviour.
type Options struct {
	// Order is how waiting jobs of the same priority are put in order.
	Order urgency.Order
	// YieldThrottled makes fillers that stay throttled to 0 percent give up their slots if another worker takes them.
	YieldThrottled bool
	// MatchFillers makes fillers prefer workers where they use a small share of the headroom that is left.
	MatchFillers bool
}

// Planner holds the jobs and workers of a region and decides about assignments. It is not safe for concurrent
// use.
type Planner struct {
	timing  Timing
	options Options
	// now is the time of the event being handled.
	now       time.Duration
	termStart time.Duration
	// inherited holds when the authorities that earlier terms have given end at the latest, by agent.
	inherited map[string]time.Duration
	operator  operatorconfig.Snapshot

	jobs   map[string]*entry
	agents map[string]*agent
	// workers lists the agents in the order of their names.
	workers []*agent
	changes changeLog
	// searchID is the number of the latest search for workers.
	searchID uint64
	// runsByIncarnation holds the tasks that are assigned to each incarnation of a worker.
	runsByIncarnation map[job.WorkerIncarnation]map[ref]struct{}
	// usage is the memory of jobs and pendingCancels. finished lists the ended jobs whose tasks are not released yet.
	usage    backlog.Usage
	finished []*entry
	// pendingCancels holds the cancellations of jobs that were not added yet, by the job's id.
	pendingCancels map[string]*pendingCancel

	dirty     []*entry
	orders    []Order
	events    []Event
	timings   []StartTimings
	pressures pressureTable
	durations durationTable
	stalls    stallCheck
	yields    YieldCounts
	progress  progressBound
	// assigning is set during a pass.
	assigning bool
	passShare passShare
	// optionBuffer and candidateBuffer are reused by each pass.
	optionBuffer    []option
	candidateBuffer []candidate
	// active lists the jobs that were not final at the last Tick, in the order in which they were added.
	active []*entry
	// removable lists the ids of jobs whose records can be deleted, removableCancels those of jobs that were never added
	// and whose cancellations can be deleted.
	removable        []string
	removableCancels []string
}

// New returns a planner with the default options for a coordinator term that starts at the given time.
func New(timing Timing, now time.Duration) *Planner { return NewWithOptions(timing, Options{}, now) }

// NewWithOptions returns a planner for a coordinator term that starts at the given time.
func NewWithOptions(timing Timing, options Options, now time.Duration) *Planner {
	return &Planner{
		timing: timing, options: options, now: now, termStart: now,
		jobs: map[string]*entry{}, agents: map[string]*agent{},
		runsByIncarnation: map[job.WorkerIncarnation]map[ref]struct{}{}, pendingCancels: map[string]*pendingCancel{},
		pressures: pressureTable{}, durations: durationTable{}, stalls: stallCheck{assignedAt: now},
	}
}

// Advance sets the time of the events that follow. Time never moves backwards.
func (p *Planner) Advance(now time.Duration) { p.now = max(p.now, now) }

// TakeOrders returns the orders to send and clears the list.
func (p *Planner) TakeOrders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

// TakeEvents returns the events to log and clears the list.
func (p *Planner) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

// StartTimings are the delays up to the first start order of a run, for metrics.
type StartTimings struct {
	// PlacementDelay is the time from the first attempt to assign the task to its start order.
	PlacementDelay time.Duration
	// FirstStartDelay is the time from when the job was added to the planner to its first start order. It is negative
	// for later orders.
	FirstStartDelay time.Duration
}

// TakeTimings returns the delays of the start orders since the last call.
func (p *Planner) TakeTimings() []StartTimings {
	timings := p.timings
	p.timings = nil
	return timings
}

func (p *Planner) log(message string, fields ...any) {
	p.events = append(p.events, Event{Message: message, Fields: fields})
}

// SetOperatorSnapshot sets the operator's configuration and zone decisions. Assignments that they no longer allow are
// withdrawn if no start order was sent yet.
func (p *Planner) SetOperatorSnapshot(snapshot operatorconfig.Snapshot) {
	p.operator = snapshot
	p.changes.markAllChanged()
	for _, e := range p.active {
		p.failExhaustedTasks(e)
		p.withdrawUnordered(e, func(r ref, a *agent) bool { return a == nil || !p.allowed(r.entry, r.step, a) })
	}
}

// withdrawUnordered releases the assignments of a job that reject selects and for which no start order was
// sent yet.
func (p *Planner) withdrawUnordered(e *entry, reject func(ref, *agent) bool) {
	for step := range e.progress.Steps {
		for index := range e.progress.Steps[step] {
			r := ref{e, step, index}
			if r.task().Phase != job.PhaseAssigned || r.run().ordered {
				continue
			}
			if reject(r, p.agents[r.task().Worker.Agent]) {
				p.releaseTask(r)
				p.markDirty(e)
			}
		}
	}
}

// AddJob adds a job that was submitted the given age ago. progress is nil if none is recorded yet. A job that
// was already added is ignored.
func (p *Planner) AddJob(spec *job.Spec, progress *job.Progress, revision store.Revision, age time.Duration) {
	if _, ok := p.jobs[spec.ID]; ok {
		return
	}
	recorded := progress != nil && progress.Matches(spec)
	if !recorded {
		progress = job.NewProgress(spec)
	}
	e := newEntry(spec, progress, revision, p.now)
	e.submittedAt = p.now - max(0, age)
	e.idleSince, e.progressAt = p.now, p.now
	p.addEntry(e)
	for step := range progress.Steps {
		for index := range progress.Steps[step] {
			p.restoreAssignment(ref{e, step, index})
		}
	}
	if !recorded {
		p.log("job accepted", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps), "tasks", e.waiting,
			"work_core_ms", p.remainingWork(e).Milliseconds(), "age_ms", age.Milliseconds(),
			"objective_ms", p.objective(e).Milliseconds())
	}
	if p.pendingCancels[spec.ID] != nil {
		p.Cancel(spec.ID)
	}
	p.failExhaustedTasks(e)
}

// restoreAssignment restores the recorded assignment of a task. Its start order may have been sent in an
// earlier term.
func (p *Planner) restoreAssignment(r ref) {
	task := r.task()
	if task.Run > 0 {
		r.entry.hasStarted = true
	}
	if task.Phase != job.PhaseAssigned {
		return
	}
	r.run().ordered = true
	r.run().orderAt = p.now
	p.addAssignment(r, task.Worker)
}

// addAssignment adds the task to the runs of an incarnation of a worker, and reserves its need there.
func (p *Planner) addAssignment(r ref, incarnation job.WorkerIncarnation) {
	if p.runsByIncarnation[incarnation] == nil {
		p.runsByIncarnation[incarnation] = map[ref]struct{}{}
	}
	p.runsByIncarnation[incarnation][r] = struct{}{}
	if a := p.agents[incarnation.Agent]; a != nil && a.incarnation == incarnation {
		a.reserve(r.definition(), 1)
	}
	if p.agents[incarnation.Agent] == nil {
		p.addAgent(&agent{name: incarnation.Agent, authorityEnds: p.inheritedAuthority(incarnation.Agent)})
	}
}

// addAgent adds a new agent to the map and to the sorted list.
func (p *Planner) addAgent(a *agent) {
	p.agents[a.name] = a
	at, _ := slices.BinarySearchFunc(p.workers, a.name, compareAgentName)
	p.workers = slices.Insert(p.workers, at, a)
}

// removeAgent removes an agent from the map and from the sorted list.
func (p *Planner) removeAgent(a *agent) {
	delete(p.agents, a.name)
	if at, ok := slices.BinarySearchFunc(p.workers, a.name, compareAgentName); ok {
		p.workers = slices.Delete(p.workers, at, at+1)
	}
}

func compareAgentName(a *agent, name string) int { return strings.Compare(a.name, name) }

// releaseTask returns an assigned task to the waiting phase.
func (p *Planner) releaseTask(r ref) {
	task := r.task()
	if task.Phase != job.PhaseAssigned {
		return
	}
	incarnation := task.Worker
	if runs := p.runsByIncarnation[incarnation]; runs != nil {
		delete(runs, r)
		if len(runs) == 0 {
			delete(p.runsByIncarnation, incarnation)
		}
	}
	if a := p.agents[incarnation.Agent]; a != nil && a.incarnation == incarnation {
		a.reserve(r.definition(), -1)
		if a.probe == r {
			a.probe = ref{}
		}
		p.changes.markChanged(a)
	}
	r.entry.setPhase(r, job.PhaseWaiting)
	// The released task has not been tried on any worker yet, so the next pass considers all of them.
	r.entry.steps[r.step].nextChange = 0
	if r.entry.assigned == 0 {
		r.entry.idleSince = p.now
	}
	task.Worker = job.WorkerIncarnation{}
	*r.run() = run{avoid: r.run().avoid, crashedOn: r.run().crashedOn, yielded: r.run().yielded}
}

// JobState returns the published state of a job, or false if the job is not known. A queued job counts as running
// once one of its runs was ordered.
func (p *Planner) JobState(id string) (job.State, bool) {
	e, ok := p.jobs[id]
	if !ok {
		return job.StateQueued, false
	}
	if e.published == job.StateQueued && e.hasStarted {
		return job.StateRunning, true
	}
	return e.published, true
}

// CountUnstartedJobs returns the number of unfinished jobs of the queue of which no task has started.
func (p *Planner) CountUnstartedJobs(queue string) int {
	count := 0
	for _, e := range p.active {
		if e.spec.Queue == queue && !e.hasStarted && !e.progress.State.Final() {
			count++
		}
	}
	return count
}
