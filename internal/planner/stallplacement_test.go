package planner

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// TestWaitingTaskThatStandsStillIsLogged guards against a long-running task that waits without a line in the log that
// tells why no worker takes it.
func TestWaitingTaskThatStandsStillIsLogged(t *testing.T) {
	filler := job.Step{Count: 1, LongRunning: true, Filler: true, Image: "fill", Need: resource.Quantity{MilliCPU: 1000}}
	plain := job.Step{Count: 1, LongRunning: true}
	large := job.Step{Count: 1, LongRunning: true, Need: resource.Quantity{MilliCPU: 5000}}
	for _, c := range []struct {
		reason StallReason
		step   job.Step
		// cause excludes workers of a planner that has two.
		cause func(p *Planner)
		texts []string
	}{
		{StallNotAllowed, job.Step{Count: 1, LongRunning: true, Label: "arm"}, func(*Planner) {}, []string{
			"phase waiting", "run 0", "stalled_ms 4000", "tried_ms", "excluded 2 service, label or zone not allowed",
		}},
		{StallNotAllowed, plain, func(p *Planner) {
			operator := p.operator
			operator.ZonesOut = map[string]store.Revision{"north": 7, "south": 7}
			p.SetOperatorSnapshot(operator)
		}, []string{"excluded 2 service, label or zone not allowed"}},
		{StallNotAllowed, plain, func(p *Planner) {
			p.HandleDisconnect(agentName(0), p.now)
			p.agents[agentName(1)].service = "other"
		}, []string{"excluded 1 worker unavailable, 1 service, label or zone not allowed"}},
		{StallWorkerUnavailable, plain, func(p *Planner) {
			p.HandleReport(&wire.AgentReport{Agent: agentName(0)})
			p.agents[agentName(1)].leaving = true
		}, []string{"excluded 2 worker unavailable"}},
		{StallWorkerPaused, plain, func(p *Planner) {
			p.agents[agentName(0)].penaltyEnds, p.agents[agentName(1)].penaltyEnds = time.Minute, time.Minute
		}, []string{"excluded 2 worker paused"}},
		{StallWorkerSuspected, plain, func(p *Planner) {
			for i := range 2 {
				a := p.agents[agentName(i)]
				a.failuresInRow, a.suspectEnds = suspectAfter, time.Minute
			}
		}, []string{"excluded 2 worker suspected"}},
		{StallNoRoom, large, func(*Planner) {}, []string{
			"excluded 2 no room", "need 5000m 0MB 0 accelerators", "most_free 4000m 8589MB 0 accelerators", "reserved_percent 0",
		}},
		{StallNoIdle, filler, func(p *Planner) {
			p.agents[agentName(0)].fillerCPU, p.agents[agentName(1)].fillerCPU = 4000, 4000
			keepBusy(p)
		}, []string{"excluded 2 no idle processors"}},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			p := newTestPlanner(2)
			c.cause(p)
			addJob(p, "a", "q", c.step)
			p.TakeEvents()
			standStill(p)
			checkReason(t, p, c.reason, c.texts...)
		})
	}
}

// keepBusy reserves most of the capacity of all workers, so that no job counts as starving.
func keepBusy(p *Planner) {
	for _, a := range p.workers {
		a.reserved.MilliCPU = a.capacity.MilliCPU * 3 / 4
	}
}

// standStill advances the time past stallAfter, then tries the waiting tasks for the first time and checks for stalled
// ones. After a longer wait some tasks accept more workers.
func standStill(p *Planner) {
	p.Advance(p.now + stallAfter + stallCheckInterval)
	commit(p)
	p.Tick()
}

// TestHoldersOfTheRoomAreLogged guards against a long-running task that waits for room without a line in the log that
// tells whether less urgent tasks, or tasks that end, hold it.
func TestHoldersOfTheRoomAreLogged(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "low", "q", job.Step{Count: 3})
	addJob(p, "equal", "urgent", job.Step{Count: 2})
	addJob(p, "lasting", "urgent", job.Step{Count: 1, LongRunning: true})
	is.Equal(totalStarts(commit(p)), 6)
	reportAtWork(p, "lasting.0.0.0", fullPercent)
	addJob(p, "a", "urgent", job.Step{Count: 1, LongRunning: true, Need: resource.Quantity{MilliCPU: 3000}})
	standStillBeside(p, "lasting.0.0.0")
	checkReason(t, p, StallNoRoom, "reserved_percent 75", "batch_percent 62", "lower_priority_percent 37")
}

// TestBoundedTaskIsLogged guards against a long-running task that waits for lack of a worker without a task of its step,
// without a line in the log.
func TestBoundedTaskIsLogged(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "b", "q", job.Step{Count: 3, LongRunning: true, MaxPerWorker: 1})
	is.Equal(totalStarts(commit(p)), 2)
	for range 4 {
		p.Advance(p.now + stallCheckInterval)
		reportAtWork(p, "b.0.0.0", fullPercent)
		reportAtWork(p, "b.0.0.1", fullPercent)
		commit(p)
		p.Tick()
	}
	is.Equal(p.StalledTasks(StallWorkerBound), 1)
	lines := stallLines(p)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], "task b.0.0.2"))
	is.True(strings.Contains(lines[0], "tried_ms 4000 excluded 2 bound per worker"))
}

// startServing returns a planner with one worker on which a run with a latency target has the given load and, so that no
// job counts as starving, most processors are reserved.
func startServing(t *testing.T, load float64) *Planner {
	p := newTestPlanner(1)
	addJob(p, "s", "q", job.Step{Count: 1, LongRunning: true, LatencyTarget: 50 * time.Millisecond, Image: "serve"})
	is.New(t).Equal(totalStarts(commit(p)), 1)
	r, _ := p.findTask("s.0.0.0")
	r.run().load = load
	a := p.agents[agentName(0)]
	a.neighbours.stale, a.reserved.MilliCPU = true, 3000
	return p
}

// standStillBeside is like standStill, with the run of another task at work.
func standStillBeside(p *Planner, working string) {
	p.Advance(p.now + stallAfter + stallCheckInterval)
	reportAtWork(p, working, fullPercent)
	commit(p)
	p.Tick()
}

// TestFillersWithoutHeadroomAreLogged guards against long-running fillers that wait for headroom beside runs with a
// latency target without lines in the log, and against lines that don't tell which of them were tried.
func TestFillersWithoutHeadroomAreLogged(t *testing.T) {
	is := is.New(t)
	p := startServing(t, 2)
	addJob(p, "a", "q", job.Step{
		Count: 2, LongRunning: true, Filler: true, Image: "fill", Need: resource.Quantity{MilliCPU: 500},
	})
	standStillBeside(p, "s.0.0.0")
	is.Equal(p.StalledTasks(StallNoHeadroom), 2)
	lines := stallLines(p)
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "tried_ms 0 excluded 1 no headroom best_headroom -"))
	is.True(strings.Contains(lines[1], "tried_ms 0 earlier_tasks_wait true excluded 1 no headroom best_headroom -"))
}

// TestAcceptedTasksAreLogged guards against long-running tasks that a worker takes and that stand still until the next
// pass, or behind an earlier one of their step, without lines in the log.
func TestAcceptedTasksAreLogged(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 2, LongRunning: true})
	p.Advance(p.now + stallAfter + 1)
	p.stalls.assignedAt = p.now
	p.Tick()
	is.Equal(p.StalledTasks(StallNotPlaced), 1)
	is.Equal(p.StalledTasks(StallEarlierTask), 1)
	lines := stallLines(p)
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "task a.0.0.0"))
	is.True(strings.Contains(lines[0], "reason not placed yet"))
	is.True(strings.Contains(lines[1], "task a.0.0.1"))
	is.True(strings.Contains(lines[1], "reason earlier task of the step"))
}

// TestTaskOfAStepThatIsNotReadyIsLogged guards against a long-running task that waits for an earlier step without a line
// in the log.
func TestTaskOfAStepThatIsNotReadyIsLogged(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(1)
	need := resource.Quantity{MilliCPU: 1000}
	p.AddJob(&job.Spec{ID: "a", Queue: "q", Service: "pool", Steps: []job.Step{
		{Count: 1, Need: need}, {Count: 1, Need: need, LongRunning: true, After: []int{0}},
	}}, nil, 0, 0)
	standStill(p)
	is.Equal(p.StalledTasks(StallStepNotReady), 1)
	lines := stallLines(p)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], "task a.0.1.0"))
}

// TestTasksWithoutCommitsAreLogged guards against waiting long-running tasks that stand still because the coordinator
// can't commit assignments or has no configuration, without lines in the log.
func TestTasksWithoutCommitsAreLogged(t *testing.T) {
	step := job.Step{Count: 1, LongRunning: true}
	t.Run("no commit", func(t *testing.T) {
		p := newTestPlanner(1)
		addJob(p, "a", "q", step)
		advanceIdle(p)
		checkReason(t, p, StallCommitPending, "phase waiting")
	})
	t.Run("no configuration", func(t *testing.T) {
		p := New(testTiming, time.Second)
		addJob(p, "a", "q", step)
		advanceIdle(p)
		checkReason(t, p, StallNoConfiguration)
	})
	t.Run("no worker", func(t *testing.T) {
		p := newTestPlanner(0)
		addJob(p, "a", "q", step)
		standStill(p)
		checkReason(t, p, StallNoWorker)
	})
}

// TestSuspectedTaskThatWaitsIsLogged guards against a task that is suspected of crashes and waits to start alone without
// a line in the log.
func TestSuspectedTaskThatWaitsIsLogged(t *testing.T) {
	for _, c := range []struct {
		reason StallReason
		count  int
		cause  func(p *Planner, r ref)
	}{
		{StallJustStarted, 1, func(p *Planner, _ ref) { p.agents[agentName(0)].lastPlacementAt = p.now }},
		{StallProbations, maxJobProbations + 1, func(p *Planner, r ref) {
			for index := 1; index <= maxJobProbations; index++ {
				r.entry.progress.SetCrashes(job.TaskCrashes{Step: r.step, Index: index, Blamed: 1})
				r.entry.runs[r.step][index].probationEnds = p.now + time.Second
			}
		}},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			is := is.New(t)
			p := newTestPlanner(1)
			addJob(p, "a", "q", job.Step{Count: maxJobProbations + 1, LongRunning: true})
			r, ok := p.findTask(longRunningTaskName)
			is.True(ok)
			r.entry.progress.SetCrashes(job.TaskCrashes{Step: r.step, Index: r.index, Blamed: 1})
			p.Advance(p.now + stallAfter + 1)
			p.stalls.assignedAt, r.run().waitingSince = p.now, p.now
			c.cause(p, r)
			p.Tick()
			is.Equal(p.StalledTasks(c.reason), c.count)
			is.True(strings.Contains(stallLines(p)[0], c.reason.String()))
		})
	}
}
