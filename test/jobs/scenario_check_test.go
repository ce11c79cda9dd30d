package jobs

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// watchPeriod is how often the tasks that last are looked at.
const watchPeriod = 100 * time.Millisecond

// settledTime is how long before the check of the outcome the last order was sent. Orders are repeated more often.
const settledTime = 8 * time.Second

// sortedEvents returns the events in the order of their times.
func sortedEvents(events []event) []event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	return sorted
}

// startPlayRegion starts the region of a play: two entries and three agents. The second entry starts later, so that the
// first one is the coordinator in all plays.
func startPlayRegion(t *testing.T, p *play, n *network) {
	p.lock()
	p.region = newRegionOn(t, n, 1, 3, 1, newLogger())
	p.region.work = p.work
	p.region.entries = append(p.region.entries, &entryProcess{region: p.region, name: "entry-1"})
	p.unlock()
	time.Sleep(warmUpTime / 2)
	p.start("entry-1")
	time.Sleep(warmUpTime / 2)
}

// lastingTask returns the name of a task that lasts.
func lastingTask(index int) string {
	return job.TaskName{Job: watchID, Index: index}.String()
}

// runningOn returns the workers on which a task runs.
func (p *play) runningOn(task string) []string {
	recorder := p.region.recorder
	recorder.Mu.Lock()
	defer recorder.Mu.Unlock()
	var workers []string
	for worker := range recorder.Running[task] {
		workers = append(workers, worker)
	}
	return workers
}

// watchLastingTasks records an error if a task that lasts is idle for longer than the scenario allows.
func (p *play) watchLastingTasks(limits scenario, ended <-chan struct{}) {
	idleSince := map[int]time.Time{}
	tooLong := map[int]bool{}
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchPeriod):
		}
		p.mu.Lock()
		acceptedAt := p.accepted[watchID]
		p.mu.Unlock()
		for index := range lasting {
			if acceptedAt.IsZero() || idleSince[index].IsZero() || len(p.runningOn(lastingTask(index))) > 0 {
				idleSince[index] = time.Now()
			}
			faultAt := p.tap.faultTime()
			calm := faultAt == 0 || p.region.elapsed()-faultAt > limits.idleAfterFault
			if time.Since(idleSince[index]) > limits.maxIdle && calm && !tooLong[index] {
				tooLong[index] = true
				p.addErrorf("%s doesn't run for longer than %s at %s", lastingTask(index), limits.maxIdle, p.region.elapsed())
			}
		}
	}
}

// checkOutcome checks a play some time after the last event of its scenario.
func (p *play) checkOutcome() {
	p.checkJobs()
	p.checkLastingTasks()
	p.checkWorkers()
	p.checkStoredAssignments()
	p.checkOrders()
	p.checkAgents()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, message := range p.errors {
		p.region.t.Error(message)
	}
}

// checkJobs checks that each accepted job but the lasting one has ended.
func (p *play) checkJobs() {
	p.mu.Lock()
	accepted := p.accepted
	p.mu.Unlock()
	for id := range accepted {
		want := job.StateDone
		switch id {
		case watchID:
			want = job.StateRunning
		case cancelID:
			want = job.StateCancelled
		}
		state, err := p.region.state(p.entry(0), id)
		// Two crashes at the start of a task can't be told from a task that causes them.
		givenUp := state == job.StateFailed && p.region.recorder.MayBeGivenUp(id)
		if err != nil || state != want && !givenUp {
			p.addErrorf("job %s is %s instead of %s: %v", id, state, want, err)
		}
	}
}

// checkLastingTasks checks that each task that lasts runs once, and that nothing else runs.
func (p *play) checkLastingTasks() {
	for index := range lasting {
		if workers := p.runningOn(lastingTask(index)); len(workers) != 1 {
			p.addErrorf("%s runs on %v", lastingTask(index), workers)
		}
	}
	if runs := activeRuns(p.region); runs != lasting {
		p.addErrorf("%d runs are on the workers instead of %d", runs, lasting)
	}
}

// checkWorkers checks that all ends on workers that are up are confirmed.
func (p *play) checkWorkers() {
	for _, a := range p.region.agents {
		if _, up := a.worker.Describe(a.zone, 0); up && a.worker.UnconfirmedEnds() > 0 {
			p.addErrorf("%d ends on the worker of %s are not confirmed", a.worker.UnconfirmedEnds(), a.name)
		}
	}
}

// checkStoredAssignments checks that each assignment that a coordinator has stored is a run on its worker.
func (p *play) checkStoredAssignments() {
	const progressPrefix = "out/"
	records, err := p.region.memory.List(context.Background(), progressPrefix)
	if err != nil {
		p.addErrorf("progress not read: %v", err)
	}
	for _, record := range records {
		progress, err := job.DecodeProgress(record.Value)
		if err != nil {
			p.addErrorf("%s not decoded: %v", record.Key, err)
			continue
		}
		if progress.State.Final() {
			// The releases of the tasks of an ended job are not stored.
			continue
		}
		for step := range progress.Steps {
			for index := range progress.Steps[step] {
				task := &progress.Steps[step][index]
				if task.Phase == job.PhaseAssigned && !p.isOnWorker(record.Key[len(progressPrefix):], step, index, task) {
					p.addErrorf("%s.%d.%d run %d is assigned to %+v, which doesn't run it", record.Key, step, index, task.Run, task.Worker)
				}
			}
		}
	}
}

// checkOrders checks that no orders or their outcomes are repeated any more: a coordinator that believes in a run that no
// worker has, or an agent with an end that is not recorded, repeats them.
func (p *play) checkOrders() {
	p.tap.mu.Lock()
	defer p.tap.mu.Unlock()
	if at := p.tap.orderedAt; p.region.elapsed()-at < settledTime {
		p.addErrorf("%s was sent at %s, in the last %s", p.tap.ordered, at, settledTime)
	}
}

// isOnWorker reports whether an assigned run is on its worker.
func (p *play) isOnWorker(id string, step, index int, task *job.Task) bool {
	name := job.TaskName{Job: id, Step: step, Index: index}.String()
	for _, a := range p.region.agents {
		status, up := a.worker.Describe(a.zone, 0)
		if a.name == task.Worker.Agent && up && status.Incarnation == task.Worker.Incarnation {
			return a.worker.Runs()[name] == task.Run
		}
	}
	return false
}

// checkAgents checks that each agent that is up knows the runs on its worker with their orders, and whether it has a worker.
func (p *play) checkAgents() {
	for _, a := range p.region.agents {
		if a.cancel == nil {
			continue
		}
		report := p.requestReport(a)
		if report == nil {
			p.addErrorf("%s sends no report", a.name)
			continue
		}
		if _, up := a.worker.Describe(a.zone, 0); up != (report.WorkerID != "") || up == report.WorkerLost {
			p.addErrorf("%s reports worker %q, lost: %t; the worker is up: %t", a.name, report.WorkerID, report.WorkerLost, up)
		}
		runs := a.worker.Runs()
		for task, run := range runs {
			// Without the order the agent doesn't know how to protect the run from others on the worker.
			if ordered := p.tap.latestStartOrder(a.name, task); ordered != run {
				p.addErrorf("%s runs %s run %d without an order for it, the latest is for run %d", a.name, task, run, ordered)
			}
		}
		for _, row := range report.Runs {
			if runs[row.Task] != row.Run {
				p.addErrorf("%s reports run %d of %s, which is not on its worker", a.name, row.Run, row.Task)
			}
			delete(runs, row.Task)
		}
		if len(runs) > 0 {
			p.addErrorf("%s doesn't report the runs %v", a.name, runs)
		}
	}
}

// requestReport opens a link to an agent as a new coordinator and returns the agent's report, or nil.
func (p *play) requestReport(a *agentProcess) *wire.AgentReport {
	const newest = 1 << 50
	conn, err := p.region.network.dialer("checker").Dial(context.Background(), a.name)
	if err != nil {
		return nil
	}
	defer conn.Close()
	if conn.Send(&wire.CoordinatorHello{Term: newest, Fence: newest, Agent: a.name}) != nil {
		return nil
	}
	for {
		message, err := conn.Receive()
		if err != nil {
			return nil
		}
		if report, ok := message.(*wire.AgentReport); ok {
			return report
		}
	}
}
