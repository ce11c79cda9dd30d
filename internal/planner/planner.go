package planner

import (
	"slices"
	"strings"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
)

// Planner holds the jobs and workers of a region. It is not safe for concurrent use.
type Planner struct {
	timing Timing
	// now is the time of the event being handled.
	now       time.Duration
	termStart time.Duration
	operator  operatorconfig.Snapshot

	jobs   map[string]*entry
	agents map[string]*agent
	// workers lists the agents in the order of their names.
	workers []*agent
	changes changeLog
	// lookup numbers the searches for workers.
	lookup uint64
	// lives holds the tasks that are assigned to each life of a worker.
	lives map[job.WorkerLife]map[ref]struct{}
	// cancels holds the cancelled jobs that are not known yet.
	cancels map[string]bool

	dirty     []*entry
	orders    []Order
	events    []Event
	timings   []Timings
	pressures pressureTable
	durations durationTable
	// optionBuffer and candidateBuffer are reused by each pass.
	optionBuffer    []option
	candidateBuffer []candidate
	// active lists the jobs that are not final, oldest first.
	active []*entry
	// removable lists the ids of jobs whose records can be deleted.
	removable []string
}

// New returns a planner for a term that starts now.
func New(timing Timing, now time.Duration) *Planner {
	return &Planner{
		timing: timing, now: now, termStart: now,
		jobs: map[string]*entry{}, agents: map[string]*agent{},
		lives: map[job.WorkerLife]map[ref]struct{}{}, cancels: map[string]bool{},
		pressures: pressureTable{}, durations: durationTable{},
	}
}

// Advance sets the time of the events that follow.
func (p *Planner) Advance(now time.Duration) { p.now = max(p.now, now) }

// TakeOrders returns the orders to send now.
func (p *Planner) TakeOrders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

// TakeEvents returns the decisions to log.
func (p *Planner) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}

// Timings are the delays of the first order of a task, for metrics.
type Timings struct {
	// Placing is the time from when the task could first be placed to its order.
	Placing time.Duration
	// HandIn is the time from when the planner learned of the job to its first order; it is negative for
	// orders after the first.
	HandIn time.Duration
}

// TakeTimings returns the delays of the orders since the last call.
func (p *Planner) TakeTimings() []Timings {
	timings := p.timings
	p.timings = nil
	return timings
}

func (p *Planner) log(message string, fields ...any) {
	p.events = append(p.events, Event{Message: message, Fields: fields})
}

// SetOperator takes in the operator's decisions. Assignments that were not ordered yet and that the
// decisions no longer allow are taken back.
func (p *Planner) SetOperator(snapshot operatorconfig.Snapshot) {
	p.operator = snapshot
	p.changes.touchAll()
	for _, e := range p.active {
		p.withdraw(e, func(r ref, a *agent) bool { return a == nil || !p.allowed(r.entry, r.step, a) })
	}
}

// withdraw takes back the assignments of a job that were not ordered yet and that reject selects.
func (p *Planner) withdraw(e *entry, reject func(ref, *agent) bool) {
	for step := range e.progress.Steps {
		for index := range e.progress.Steps[step] {
			r := ref{e, step, index}
			if r.task().Phase != job.PhaseAssigned || r.run().ordered {
				continue
			}
			if reject(r, p.agents[r.task().Worker.Agent]) {
				p.release(r)
				p.markDirty(e)
			}
		}
	}
}

// AddJob takes in a job that was handed in the given time ago. The progress is nil if nothing is recorded
// yet.
func (p *Planner) AddJob(spec *job.Spec, progress *job.Progress, revision store.Revision, age time.Duration) {
	if _, ok := p.jobs[spec.ID]; ok {
		return
	}
	recorded := progress != nil && progress.Matches(spec)
	if !recorded {
		progress = job.NewProgress(spec)
	}
	e := newEntry(spec, progress, revision, p.now)
	e.handedIn = p.now - max(0, age)
	e.idleSince = p.now
	p.jobs[spec.ID] = e
	if !progress.State.Final() {
		p.active = append(p.active, e)
	}
	for step := range progress.Steps {
		for index := range progress.Steps[step] {
			p.adopt(ref{e, step, index})
		}
	}
	if !recorded {
		p.log("job accepted", "job", spec.ID, "queue", spec.Queue, "steps", len(spec.Steps))
	}
	if p.cancels[spec.ID] {
		p.Cancel(spec.ID)
	}
}

// adopt takes in the recorded assignment of a task. Its start order may have left in an earlier term.
func (p *Planner) adopt(r ref) {
	task := r.task()
	if task.Run > 0 {
		r.entry.startedAny = true
	}
	if task.Phase != job.PhaseAssigned {
		return
	}
	r.run().ordered = true
	r.run().orderAt = p.now
	p.hold(r, task.Worker)
}

// hold counts the task on the life of a worker.
func (p *Planner) hold(r ref, life job.WorkerLife) {
	if p.lives[life] == nil {
		p.lives[life] = map[ref]struct{}{}
	}
	p.lives[life][r] = struct{}{}
	if a := p.agents[life.Agent]; a != nil && a.life == life {
		a.reserve(r.definition(), 1)
	}
	if p.agents[life.Agent] == nil {
		p.addAgent(&agent{name: life.Agent, authorityEnds: p.termStart + p.timing.Authority + p.timing.Margin})
	}
}

// addAgent adds an agent that is not known yet.
func (p *Planner) addAgent(a *agent) {
	p.agents[a.name] = a
	at, _ := slices.BinarySearchFunc(p.workers, a.name, compareAgentName)
	p.workers = slices.Insert(p.workers, at, a)
}

// removeAgent forgets an agent.
func (p *Planner) removeAgent(a *agent) {
	delete(p.agents, a.name)
	if at, ok := slices.BinarySearchFunc(p.workers, a.name, compareAgentName); ok {
		p.workers = slices.Delete(p.workers, at, at+1)
	}
}

func compareAgentName(a *agent, name string) int { return strings.Compare(a.name, name) }

// release makes an assigned task wait again.
func (p *Planner) release(r ref) {
	task := r.task()
	if task.Phase != job.PhaseAssigned {
		return
	}
	life := task.Worker
	if held := p.lives[life]; held != nil {
		delete(held, r)
		if len(held) == 0 {
			delete(p.lives, life)
		}
	}
	if a := p.agents[life.Agent]; a != nil && a.life == life {
		a.reserve(r.definition(), -1)
		a.probing = a.probing && len(p.lives[life]) > 0
		p.changes.touch(a)
	}
	r.entry.setPhase(r, job.PhaseWaiting)
	// A task that waits again has not been tried on any worker.
	r.entry.steps[r.step].triedAt = 0
	if r.entry.assigned == 0 {
		r.entry.idleSince = p.now
	}
	task.Worker = job.WorkerLife{}
	*r.run() = run{avoid: r.run().avoid}
}

// Cancel ends a job; its runs are told to stop.
func (p *Planner) Cancel(id string) {
	e, ok := p.jobs[id]
	if !ok {
		p.cancels[id] = true
		return
	}
	delete(p.cancels, id)
	if e.progress.State.Final() {
		return
	}
	p.log("job cancelled", "job", id)
	p.finish(e, job.StateCancelled)
}

// finish moves a job to a final state and stops what still runs.
func (p *Planner) finish(e *entry, state job.State) {
	e.progress.State = state
	p.markDirty(e)
	for step := range e.progress.Steps {
		for index := range e.progress.Steps[step] {
			p.stopOrRelease(ref{e, step, index})
		}
	}
}

// stopOrRelease stops a run that may exist and takes back an assignment that was not ordered.
func (p *Planner) stopOrRelease(r ref) {
	if r.task().Phase != job.PhaseAssigned {
		return
	}
	if !r.run().ordered {
		p.release(r)
		return
	}
	p.stop(r)
}

// State returns the state that callers see, and false if the job is not known.
func (p *Planner) State(id string) (job.State, bool) {
	e, ok := p.jobs[id]
	if !ok {
		return job.StateQueued, false
	}
	if e.shown == job.StateQueued && e.startedAny {
		return job.StateRunning, true
	}
	return e.shown, true
}

// Waiting returns the number of jobs of the queue of which no task has started.
func (p *Planner) Waiting(queue string) int {
	count := 0
	for _, e := range p.active {
		if e.spec.Queue == queue && !e.startedAny && !e.progress.State.Final() {
			count++
		}
	}
	return count
}
