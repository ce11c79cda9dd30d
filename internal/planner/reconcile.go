package planner

import (
	"slices"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// reconcile compares the reported runs and ends with the runs assigned to the worker. Orders for assigned
// runs that are not in the report are sent again.
func (p *Planner) reconcile(a *agent, report *wire.AgentReport) {
	present := map[ref]bool{}
	for i := range report.Runs {
		if r, ok := p.reconcileRun(a, &report.Runs[i], report.Restarted); ok {
			present[r] = true
		}
	}
	for i := range report.Ends {
		if r, ok := p.findTask(report.Ends[i].Task); ok && r.task().Run == report.Ends[i].Run {
			present[r] = true
		}
		p.handleEnd(a, a.incarnation, &report.Ends[i])
	}
	var missing []ref
	for r := range p.runsByIncarnation[a.incarnation] {
		if !present[r] && r.run().ordered {
			missing = append(missing, r)
		}
	}
	slices.SortFunc(missing, compareRefs)
	for _, r := range missing {
		p.resendOrder(r, a)
	}
}

// resendOrder sends the latest order for a run again. A run that the operator's configuration no longer
// allows on the worker, or for which the worker has become too small, is stopped instead, so that it can be assigned to
// another worker.
func (p *Planner) resendOrder(r ref, a *agent) {
	switch {
	case r.entry.progress.State.Final() || r.run().stopping:
		p.sendStop(r)
	case p.operator.Config == nil:
		// Nothing may start without a configuration. The order is sent again later.
	case !p.allowed(r.entry, r.step, a):
		p.log("assigned run is no longer allowed on its worker", "task", r.name(), "run", r.task().Run, "agent", a.name, "zone", a.zone)
		p.sendStop(r)
	case !p.startFits(a):
		p.log("assigned run no longer fits on its worker", "task", r.name(), "run", r.task().Run, "agent", a.name, "capacity_milli_cpu", a.capacity.MilliCPU)
		p.sendStop(r)
	default:
		p.sendStart(r)
	}
}

// startFits reports whether all runs that are, or are to be started, on the worker fit in its capacity, which can have
// shrunk since they were assigned.
func (p *Planner) startFits(a *agent) bool {
	used := a.reserved
	for r := range p.runsByIncarnation[a.incarnation] {
		if r.run().stopping && !r.run().reported {
			used = used.Sub(reservedNeed(r.definition()))
		}
	}
	return used.FitsIn(a.capacity)
}

// reconcileRun updates a reported run and returns its task. It orders the worker to stop a run that is not
// assigned to it, and then returns false.
func (p *Planner) reconcileRun(a *agent, row *wire.RunRow, restarted bool) (ref, bool) {
	r, ok := p.findTask(row.Task)
	if ok {
		task := r.task()
		current := task.Phase == job.PhaseAssigned && task.Worker == a.incarnation && task.Run == row.Run
		if current && r.run().ordered {
			p.recordProgress(r, row)
			switch {
			case r.entry.progress.State.Final() || r.run().stopping:
				p.sendStop(r)
			case restarted:
				// The start order repeats the sharing parameters of the run, which a restarted agent has lost.
				p.sendStart(r)
			}
			return r, true
		}
	}
	p.log("stopping run that is not assigned to the worker", "task", row.Task, "run", row.Run, "agent", a.name)
	p.orders = append(p.orders, Order{Agent: a.name, Message: &wire.StopRun{
		Task: row.Task, Run: row.Run, WorkerID: a.incarnation.ID, Incarnation: a.incarnation.Incarnation,
	}})
	return ref{}, false
}

// confirmProbe ends the suspicion of a worker whose probe is a long-running task at work. Such a run does not end by
// itself, so no later sign of the worker's health would follow.
func (p *Planner) confirmProbe(r ref) {
	a := p.agents[r.task().Worker.Agent]
	if a == nil || a.probe != r || !r.definition().LongRunning || r.run().percent < fullPercent {
		return
	}
	a.resetFailures()
	p.changes.markChanged(a)
}

// recordProgress stores the reported progress and checkpoint of a run.
func (p *Planner) recordProgress(r ref, row *wire.RunRow) {
	r.entry.hasStarted = true
	r.run().reported = true
	r.run().percent = row.ProgressPercent
	p.confirmProbe(r)
	p.recordAtWork(r)
	if row.Checkpoint != "" {
		r.task().Checkpoint = row.Checkpoint
	}
}
