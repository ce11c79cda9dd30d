package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// HandleReport updates the worker of an agent from the agent's report. A complete report is also reconciled with
// the assigned runs.
func (p *Planner) HandleReport(report *wire.AgentReport) {
	a := p.agents[report.Agent]
	if a == nil {
		a = &agent{name: report.Agent}
		p.addAgent(a)
	}
	a.connected = true
	if report.Crash != nil {
		p.handleCrash(report.Agent, report.Crash)
	}
	a.ready, a.lost = report.WorkerID != "", report.WorkerLost
	if !a.ready {
		return
	}
	incarnation := job.WorkerIncarnation{Agent: report.Agent, ID: report.WorkerID, Incarnation: report.Incarnation}
	if a.incarnation != incarnation || a.endsTruncated {
		p.adoptReportedRuns(incarnation, report)
	}
	p.setIncarnation(a, incarnation, report.EndsTruncated)
	a.service, a.zone = report.Service, report.Zone
	a.labels, a.capacity = report.Labels, report.Capacity
	p.setLeaving(a, report)
	p.changes.markChanged(a)
	if report.Complete {
		p.reconcile(a, report)
	}
}

// adoptReportedRuns reassigns runs of earlier incarnations of the worker to the new incarnation if it reports
// them: a start order can reach the new incarnation before its agent has detected it.
func (p *Planner) adoptReportedRuns(incarnation job.WorkerIncarnation, report *wire.AgentReport) {
	for i := range report.Runs {
		p.adoptReportedRun(incarnation, report.Runs[i].Task, report.Runs[i].Run)
	}
	for i := range report.Ends {
		p.adoptReportedRun(incarnation, report.Ends[i].Task, report.Ends[i].Run)
	}
}

func (p *Planner) adoptReportedRun(incarnation job.WorkerIncarnation, name string, run uint32) {
	r, ok := p.findTask(name)
	if !ok {
		return
	}
	task := r.task()
	if task.Phase != job.PhaseAssigned || task.Run != run || task.Worker.Agent != incarnation.Agent || task.Worker == incarnation {
		return
	}
	p.log("run moved to a new incarnation of its worker",
		"task", name, "run", run, "agent", incarnation.Agent, "born", incarnation.Incarnation)
	delete(p.runsByIncarnation[task.Worker], r)
	task.Worker = incarnation
	p.addAssignment(r, incarnation)
	p.markDirty(r.entry)
}

// setIncarnation sets the current incarnation of the agent's worker. The runs of all earlier incarnations can no longer
// run on the VM, and those that don't turn out to have ended in the current one are released: a truncated list of ends
// doesn't tell.
func (p *Planner) setIncarnation(a *agent, incarnation job.WorkerIncarnation, endsTruncated bool) {
	replaced := a.incarnation != incarnation
	if replaced {
		p.log("worker has a new incarnation",
			"agent", a.name, "worker", incarnation.ID, "born", incarnation.Incarnation, "former", a.incarnation.ID)
	}
	if (replaced || a.endsTruncated) && !endsTruncated {
		p.releaseFormerIncarnations(a.name, incarnation)
	}
	if replaced {
		p.resetWorker(a, incarnation)
	}
	a.endsTruncated = endsTruncated
}

func (p *Planner) releaseFormerIncarnations(agentName string, current job.WorkerIncarnation) {
	for old := range p.runsByIncarnation {
		if old.Agent == agentName && old != current {
			p.releaseIncarnation(old, "worker was replaced by a new incarnation")
		}
	}
}

// resetWorker replaces what is known of the agent's worker by a new incarnation with the runs that are assigned to it.
func (p *Planner) resetWorker(a *agent, incarnation job.WorkerIncarnation) {
	fresh := agent{
		name: a.name, connected: a.connected, ready: a.ready, incarnation: incarnation, authorityEnds: a.authorityEnds,
		crashes: a.crashes,
	}
	*a = fresh
	a.neighbours.stale = true
	for r := range p.runsByIncarnation[incarnation] {
		a.reserve(r.definition(), 1)
	}
}

// setLeaving records whether the worker has announced that it will shut down, and when.
func (p *Planner) setLeaving(a *agent, report *wire.AgentReport) {
	if !report.Leaving {
		a.leaving = false
		return
	}
	if !a.leaving {
		p.log("worker is leaving", "agent", a.name, "worker", a.incarnation.ID, "remaining_ms", report.RemainingMillis)
	}
	a.leaving = true
	a.leaveAt = p.now + time.Duration(report.RemainingMillis)*time.Millisecond
}

// HandleRunProgress records the progress, loads and pressures that an agent reports. Reports on another incarnation
// of the worker are ignored.
func (p *Planner) HandleRunProgress(agentName string, report *wire.RunProgress) {
	a := p.agents[agentName]
	if a == nil || a.incarnation.ID != report.WorkerID || a.incarnation.Incarnation != report.Incarnation {
		return
	}
	for i := range report.Runs {
		row := &report.Runs[i]
		r, ok := p.findTask(row.Task)
		if ok && r.task().Phase == job.PhaseAssigned && r.task().Worker == a.incarnation && r.task().Run == row.Run {
			p.recordProgress(r, row)
		}
	}
	p.recordSharing(a, report)
}

// findTask returns the task with the name, or false if the name is invalid or no job has such a task.
func (p *Planner) findTask(name string) (ref, bool) {
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

// Tick handles timeouts: expired leases of unreachable workers, evictions from leaving workers and orders
// that are to be sent again. It also logs long-running tasks that stand still.
func (p *Planner) Tick() {
	for _, a := range slices.Clone(p.workers) {
		if !a.connected && p.now >= a.authorityEnds {
			p.releaseUnreachableWorker(a)
		}
		if a.connected && a.leaving && p.now >= a.leaveAt-evictionLeadTime {
			p.evictRuns(a)
		}
		if a.connected && a.ready {
			p.repeatOrders(a)
		}
		if a.connected && a.lost {
			p.stopLostRuns(a)
		}
	}
	p.yieldPaused()
	p.active = slices.DeleteFunc(p.active, func(e *entry) bool { return e.progress.State.Final() })
	p.releaseFinished()
	p.checkStalls()
	p.countOwedJobs()
}

// repeatOrders sends orders again that a worker has not answered within orderTimeout: an order can be lost with
// a connection that has stopped delivering. Start and stop orders are idempotent.
func (p *Planner) repeatOrders(a *agent) {
	var late []ref
	for r := range p.runsByIncarnation[a.incarnation] {
		current := r.run()
		if current.ordered && (current.stopping || !current.reported) && p.now-current.orderAt > orderTimeout {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, compareRefs)
	for _, r := range late {
		p.log("sending order again", "task", r.name(), "run", r.task().Run, "agent", a.name, "stop", r.run().stopping)
		p.resendOrder(r, a)
	}
}

// stopLostRuns orders the agent of a lost worker to stop the runs that are still assigned there. The agent answers that
// they are absent: it has refused, or will refuse, all start orders that were sent before. An order or an answer can be
// lost with the link, so the stop orders are repeated until no run is assigned.
func (p *Planner) stopLostRuns(a *agent) {
	var lost []ref
	for incarnation, runs := range p.runsByIncarnation {
		if incarnation.Agent != a.name {
			continue
		}
		for r := range runs {
			if !r.run().stopping || p.now-r.run().orderAt > orderTimeout {
				lost = append(lost, r)
			}
		}
	}
	slices.SortFunc(lost, compareRefs)
	for _, r := range lost {
		p.log("stopping run on a lost worker", "task", r.name(), "run", r.task().Run, "agent", a.name)
		p.stopOrRelease(r)
		p.markDirty(r.entry)
	}
}

// evictRuns stops the runs on a leaving worker, so that they resume on other workers from their checkpoints.
func (p *Planner) evictRuns(a *agent) {
	for r := range p.runsByIncarnation[a.incarnation] {
		if r.run().ordered && !r.run().stopping {
			p.sendStop(r)
		}
	}
}

// releaseUnreachableWorker releases the tasks of all incarnations of an agent's worker after their leases have
// expired.
func (p *Planner) releaseUnreachableWorker(a *agent) {
	for incarnation := range p.runsByIncarnation {
		if incarnation.Agent == a.name {
			p.releaseIncarnation(incarnation, "lease of the unreachable worker has expired")
		}
	}
	if a.incarnation == (job.WorkerIncarnation{}) {
		p.removeAgent(a)
	}
}

// releaseIncarnation returns the tasks of an ended incarnation of a worker to the waiting phase.
func (p *Planner) releaseIncarnation(incarnation job.WorkerIncarnation, reason string) {
	lost := make([]ref, 0, len(p.runsByIncarnation[incarnation]))
	for r := range p.runsByIncarnation[incarnation] {
		lost = append(lost, r)
	}
	slices.SortFunc(lost, compareRefs)
	for _, r := range lost {
		p.log("run lost", "task", r.name(), "run", r.task().Run, "agent", incarnation.Agent, "reason", reason)
		p.releaseTask(r)
		p.markDirty(r.entry)
	}
}

// compareRefs orders tasks by job, step and index, so that decisions don't depend on map iteration order.
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
