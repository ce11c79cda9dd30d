package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// Report takes in the description of the worker beside an agent.
func (p *Planner) Report(report *wire.AgentReport) {
	a := p.agents[report.Agent]
	if a == nil {
		a = &agent{name: report.Agent}
		p.addAgent(a)
	}
	a.up = true
	a.ready = report.WorkerID != ""
	if !a.ready {
		return
	}
	life := job.WorkerLife{Agent: report.Agent, ID: report.WorkerID, Born: report.Born}
	if a.life != life {
		p.adoptRuns(life, report)
	}
	p.enterLife(a, life)
	a.service, a.zone = report.Service, report.Zone
	a.labels, a.capacity = report.Labels, report.Capacity
	p.setLeaving(a, report)
	p.changes.touch(a)
	if report.Complete {
		p.reconcile(a, report)
	}
}

// adoptRuns moves the runs of former lives that the new life reports to it: a start order can reach a new
// life before its agent has learned of it.
func (p *Planner) adoptRuns(life job.WorkerLife, report *wire.AgentReport) {
	for i := range report.Runs {
		p.adoptRun(life, report.Runs[i].Task, report.Runs[i].Run)
	}
	for i := range report.Ends {
		p.adoptRun(life, report.Ends[i].Task, report.Ends[i].Run)
	}
}

func (p *Planner) adoptRun(life job.WorkerLife, name string, run uint32) {
	r, ok := p.find(name)
	if !ok {
		return
	}
	task := r.task()
	if task.Phase != job.PhaseAssigned || task.Run != run || task.Worker.Agent != life.Agent || task.Worker == life {
		return
	}
	p.log("run is on a new life of its worker", "task", name, "run", run, "agent", life.Agent, "born", life.Born)
	delete(p.lives[task.Worker], r)
	task.Worker = life
	p.hold(r, life)
	p.markDirty(r.entry)
}

// enterLife makes life the current one of the agent's worker. All earlier lives on the VM are over.
func (p *Planner) enterLife(a *agent, life job.WorkerLife) {
	if a.life == life {
		return
	}
	p.log("worker begins a new life", "agent", a.name, "worker", life.ID, "born", life.Born, "former", a.life.ID)
	for old := range p.lives {
		if old.Agent == a.name && old != life {
			p.loseLife(old, "new life of the worker")
		}
	}
	fresh := agent{name: a.name, up: a.up, ready: a.ready, life: life, authorityEnds: a.authorityEnds}
	*a = fresh
	a.neighbours.stale = true
	for r := range p.lives[life] {
		a.reserve(r.definition(), 1)
	}
}

// setLeaving takes in the announcement that the worker will end.
func (p *Planner) setLeaving(a *agent, report *wire.AgentReport) {
	if !report.Leaving {
		a.leaving = false
		return
	}
	if !a.leaving {
		p.log("worker is leaving", "agent", a.name, "worker", a.life.ID, "remaining_ms", report.RemainingMillis)
	}
	a.leaving = true
	a.leaveAt = p.now + time.Duration(report.RemainingMillis)*time.Millisecond
}

// reconcile compares what the agent reports with what is assigned to the worker.
func (p *Planner) reconcile(a *agent, report *wire.AgentReport) {
	present := map[ref]bool{}
	for i := range report.Runs {
		if r, ok := p.matchRun(a, &report.Runs[i], report.Restarted); ok {
			present[r] = true
		}
	}
	for i := range report.Ends {
		if r, ok := p.find(report.Ends[i].Task); ok {
			present[r] = true
		}
		p.end(a, &report.Ends[i])
	}
	var missing []ref
	for r := range p.lives[a.life] {
		if !present[r] && r.run().ordered {
			missing = append(missing, r)
		}
	}
	slices.SortFunc(missing, compareRefs)
	for _, r := range missing {
		p.resend(r, a)
	}
}

// resend repeats the order about a run that the worker does not show. A run that the operator's decisions
// no longer allow there is stopped instead, and then goes elsewhere.
func (p *Planner) resend(r ref, a *agent) {
	switch {
	case r.entry.progress.State.Final() || r.run().stopping:
		p.stop(r)
	case p.operator.Config == nil:
		// Without a configuration nothing may start; the order is repeated later.
	case !p.allowed(r.entry, r.step, a):
		p.log("assigned run is no longer allowed on its worker", "task", r.name(), "run", r.task().Run, "agent", a.name, "zone", a.zone)
		p.stop(r)
	default:
		p.order(r)
	}
}

// matchRun takes in a run on the worker. A run that is not assigned there is told to stop.
func (p *Planner) matchRun(a *agent, row *wire.RunRow, restarted bool) (ref, bool) {
	r, ok := p.find(row.Task)
	if ok {
		task := r.task()
		current := task.Phase == job.PhaseAssigned && task.Worker == a.life && task.Run == row.Run
		if current && r.run().ordered {
			p.noteProgress(r, row)
			switch {
			case r.entry.progress.State.Final() || r.run().stopping:
				p.stop(r)
			case restarted:
				// The order tells the agent again how the run shares its worker.
				p.order(r)
			}
			return r, true
		}
	}
	p.log("stopping a run that is not assigned there", "task", row.Task, "run", row.Run, "agent", a.name)
	p.orders = append(p.orders, Order{Agent: a.name, Message: &wire.StopRun{
		Task: row.Task, Run: row.Run, WorkerID: a.life.ID, Born: a.life.Born,
	}})
	return ref{}, false
}

// noteProgress takes in how far a run is.
func (p *Planner) noteProgress(r ref, row *wire.RunRow) {
	r.entry.startedAny = true
	r.run().seen = true
	r.run().percent = row.Percent
	if row.Saved != "" {
		r.task().Saved = row.Saved
	}
}

// RunProgress takes in how far the runs on a worker are.
func (p *Planner) RunProgress(agentName string, report *wire.RunProgress) {
	a := p.agents[agentName]
	if a == nil || a.life.ID != report.WorkerID || a.life.Born != report.Born {
		return
	}
	for i := range report.Runs {
		row := &report.Runs[i]
		r, ok := p.find(row.Task)
		if ok && r.task().Phase == job.PhaseAssigned && r.task().Worker == a.life && r.task().Run == row.Run {
			p.noteProgress(r, row)
		}
	}
	p.noteSharing(a, report)
}

// find returns the task with the name.
func (p *Planner) find(name string) (ref, bool) {
	parsed, err := job.ParseTaskName(name)
	if err != nil {
		return ref{}, false
	}
	e, ok := p.jobs[parsed.Job]
	if !ok {
		return ref{}, false
	}
	if _, _, ok := e.task(parsed.Step, parsed.Index); !ok {
		return ref{}, false
	}
	return ref{e, parsed.Step, parsed.Index}, true
}

// AgentDown takes in that the link to an agent has ended. lastReply is when the coordinator last
// acknowledged a ping of the agent.
func (p *Planner) AgentDown(name string, lastReply time.Duration) {
	a := p.agents[name]
	if a == nil || !a.up {
		return
	}
	a.up = false
	a.authorityEnds = max(a.authorityEnds, max(lastReply, p.termStart)+p.timing.Authority+p.timing.Margin)
	p.log("agent lost", "agent", name, "assigned", len(p.lives[a.life]), "tasks_move_in_ms", (a.authorityEnds - p.now).Milliseconds())
}

// Tick handles what is due by time alone: unreachable workers and leaving ones.
func (p *Planner) Tick() {
	for _, a := range slices.Clone(p.workers) {
		if !a.up && p.now >= a.authorityEnds {
			p.loseAgent(a)
		}
		if a.up && a.leaving && p.now >= a.leaveAt-noticeBeforeLeave {
			p.evict(a)
		}
		if a.up && a.ready {
			p.repeatOrders(a)
		}
	}
	p.active = slices.DeleteFunc(p.active, func(e *entry) bool { return e.progress.State.Final() })
}

// repeatOrders sends again what a worker has not answered for long: an order can get lost with a link that
// fell silent. Both kinds of orders are idempotent.
func (p *Planner) repeatOrders(a *agent) {
	var late []ref
	for r := range p.lives[a.life] {
		current := r.run()
		if current.ordered && (current.stopping || !current.seen) && p.now-current.orderAt > orderTimeout {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, compareRefs)
	for _, r := range late {
		p.log("order repeated", "task", r.name(), "run", r.task().Run, "agent", a.name, "stop", r.run().stopping)
		p.resend(r, a)
	}
}

// evict stops the runs on a leaving worker, so that they resume elsewhere from their checkpoints.
func (p *Planner) evict(a *agent) {
	for r := range p.lives[a.life] {
		if r.run().ordered && !r.run().stopping {
			p.stop(r)
		}
	}
}

// loseAgent releases the tasks of all lives of an agent's worker whose leases have certainly ended.
func (p *Planner) loseAgent(a *agent) {
	for life := range p.lives {
		if life.Agent == a.name {
			p.loseLife(life, "lease of an unreachable worker has ended")
		}
	}
	if a.life == (job.WorkerLife{}) {
		p.removeAgent(a)
	}
}

// loseLife makes the tasks of a life of a worker that is over wait again.
func (p *Planner) loseLife(life job.WorkerLife, reason string) {
	lost := make([]ref, 0, len(p.lives[life]))
	for r := range p.lives[life] {
		lost = append(lost, r)
	}
	slices.SortFunc(lost, compareRefs)
	for _, r := range lost {
		p.log("run lost", "task", r.name(), "run", r.task().Run, "agent", life.Agent, "reason", reason)
		p.release(r)
		p.markDirty(r.entry)
	}
}

// compareRefs orders tasks by job, step and index, so that decisions don't depend on map order.
func compareRefs(x, y ref) int {
	if x.entry != y.entry {
		if x.entry.spec.ID < y.entry.spec.ID {
			return -1
		}
		return 1
	}
	if x.step != y.step {
		return x.step - y.step
	}
	return x.index - y.index
}
