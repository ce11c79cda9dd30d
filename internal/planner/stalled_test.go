package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/wire"
)

// stallLines returns the lines on stalled tasks since the last call, each as its fields in the order of the log.
func stallLines(p *Planner) []string {
	var lines []string
	for _, event := range p.TakeEvents() {
		if strings.Contains(event.Message, "stalled") {
			lines = append(lines, event.Message+": "+fmt.Sprintln(event.Fields...))
		}
	}
	return lines
}

// reportAtWork reports the run of a long-running task with the given progress.
func reportAtWork(p *Planner, name string, percent uint8) {
	task, _ := p.Task(name)
	p.HandleRunProgress(task.Worker.Agent, &wire.RunProgress{
		WorkerID: task.Worker.ID, Incarnation: task.Worker.Incarnation,
		Runs: []wire.RunRow{{Task: name, Run: task.Run, ProgressPercent: percent}},
	})
}

// advanceIdle advances the time past stallAfter without a placement.
func advanceIdle(p *Planner) {
	p.Advance(p.now + stallAfter + stallCheckInterval)
	p.Tick()
}

// longRunningTaskName is the long-running task of most tests.
const longRunningTaskName = "a.0.0.0"

// startLasting returns a planner with one worker on which a long-running task is at work.
func startLasting(t *testing.T) *Planner {
	p := newTestPlanner(1)
	addJob(p, "a", "q", job.Step{Count: 1, LongRunning: true})
	is.New(t).Equal(totalStarts(commit(p)), 1)
	reportAtWork(p, longRunningTaskName, fullPercent)
	p.TakeEvents()
	return p
}

// checkReason fails the test unless exactly one line was logged, on the task and with the reason and the other texts.
func checkReason(t *testing.T, p *Planner, reason StallReason, texts ...string) {
	t.Helper()
	lines := stallLines(p)
	if len(lines) != 1 {
		t.Fatalf("%d lines on stalled tasks, want one: %q", len(lines), lines)
	}
	for _, text := range append(texts, "task "+longRunningTaskName, "reason "+reason.String()) {
		if !strings.Contains(lines[0], text) {
			t.Errorf("no %q in %s", text, lines[0])
		}
	}
	if count := p.StalledTasks(reason); count != 1 {
		t.Errorf("%d tasks are counted for %q", count, reason)
	}
}

// TestAssignedTaskThatStandsStillIsLogged guards against a long-running task that stands still on its worker without a
// line in the log that tells why.
func TestAssignedTaskThatStandsStillIsLogged(t *testing.T) {
	agent := agentName(0)
	for _, c := range []struct {
		reason StallReason
		// cause makes the run of a task that was at work stand still.
		cause func(p *Planner)
		texts []string
	}{
		{StallAgentUnreachable, func(p *Planner) { p.HandleDisconnect(agent, p.now) }, []string{
			"phase assigned", "run 1", "stalled_ms 4000", "agent " + agent, "authority_ends_in_ms 1300",
		}},
		{StallWorkerLost, func(p *Planner) { p.HandleReport(&wire.AgentReport{Agent: agent, WorkerLost: true}) }, nil},
		{StallWorkerNotReady, func(p *Planner) { p.HandleReport(&wire.AgentReport{Agent: agent}) }, nil},
		{StallStopping, func(p *Planner) { r, _ := p.findTask(longRunningTaskName); p.sendStop(r) }, []string{"ordered_ms"}},
		{StallNotReported, func(*Planner) {}, []string{"reported_ms 4000"}},
		{StallStartNotConfirmed, func(p *Planner) {
			endRun(p, longRunningTaskName, job.OutcomeFailed)
			commit(p)
		}, []string{"run 2", "ordered_ms"}},
		{StallCommitPending, func(p *Planner) {
			endRun(p, longRunningTaskName, job.OutcomeFailed)
			p.NextCommit(20, 0, false)
		}, []string{"run 2", "phase assigned"}},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			p := startLasting(t)
			c.cause(p)
			p.TakeEvents()
			advanceIdle(p)
			checkReason(t, p, c.reason, c.texts...)
		})
	}
}

// TestRunThatNeverWorksIsLogged guards against a run that its agent reports and that never gets to work, without a line
// in the log.
func TestRunThatNeverWorksIsLogged(t *testing.T) {
	p := startLasting(t)
	for range 4 {
		p.Advance(p.now + time.Second)
		reportAtWork(p, longRunningTaskName, 40)
		p.Tick()
	}
	checkReason(t, p, StallNotAtWork, "percent 40")
}

// TestStalledTasksAreLoggedAgain guards against a stalled task that is logged only once or with each check, and against
// one whose end of the stall is not logged.
func TestStalledTasksAreLoggedAgain(t *testing.T) {
	is := is.New(t)
	p := startLasting(t)
	p.HandleReport(&wire.AgentReport{Agent: agentName(0)})
	logged := 0
	for range 90 {
		p.Advance(p.now + 200*time.Millisecond)
		p.Tick()
		logged += len(stallLines(p))
	}
	is.Equal(logged, 3) // at 4, 9 and 14 s of 18
	is.Equal(p.StalledTasks(StallWorkerNotReady), 1)
	p.HandleReport(testReport(0))
	reportAtWork(p, longRunningTaskName, fullPercent)
	lines := stallLines(p)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], "stalled task is at work again"))
	is.True(strings.Contains(lines[0], "stalled_ms 18000"))
	p.Advance(p.now + stallCheckInterval)
	p.Tick()
	is.Equal(len(stallLines(p)), 0)
	is.Equal(p.StalledTasks(StallWorkerNotReady), 0)
}

// TestManyStalledTasksAreLoggedInTurn guards against a log that is flooded with stalled tasks, and against tasks that
// never have their turn.
func TestManyStalledTasksAreLoggedInTurn(t *testing.T) {
	is := is.New(t)
	const tasks = 3*maxStallLines + 5
	p := newTestPlanner(0)
	addJob(p, "a", "q", job.Step{Count: tasks, LongRunning: true})
	advanceIdle(p)
	lines := stallLines(p)
	is.Equal(len(lines), maxStallLines+1)
	is.True(strings.Contains(lines[maxStallLines], fmt.Sprintf("not_listed %d", tasks-maxStallLines)))
	logged := map[string]bool{}
	for range 4 {
		for _, line := range lines {
			if _, fields, found := strings.Cut(line, ": task "); found {
				logged[strings.Fields(fields)[0]] = true
			}
		}
		p.Advance(p.now + stallCheckInterval)
		p.Tick()
		lines = stallLines(p)
		is.True(len(lines) <= maxStallLines+1)
	}
	is.Equal(len(logged), tasks)
}

// TestTasksThatNeedNoRunAreNotStalled guards against lines on tasks that have nothing to run: those of batch jobs and of
// cancelled jobs, and those at work.
func TestTasksThatNeedNoRunAreNotStalled(t *testing.T) {
	is := is.New(t)
	p := startLasting(t)
	addJob(p, "batch", "q", job.Step{Count: 1, Need: resource.Quantity{MilliCPU: 9000}})
	addJob(p, "cancelled", "q", job.Step{Count: 1, LongRunning: true, Need: resource.Quantity{MilliCPU: 9000}})
	p.Cancel("cancelled")
	for range 8 {
		p.Advance(p.now + stallCheckInterval)
		reportAtWork(p, longRunningTaskName, fullPercent)
		commit(p)
		p.Tick()
	}
	is.Equal(len(stallLines(p)), 0)
	for _, reason := range StallReasons() {
		is.Equal(p.StalledTasks(reason), 0)
	}
}
