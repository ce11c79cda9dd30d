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

// crashWorker reports the crash of an agent's worker with the ages of the runs on it, and then its next incarnation.
func crashWorker(p *Planner, agent int, age func(task string) time.Duration) {
	a := p.agents[agentName(agent)]
	crash := &wire.WorkerCrash{WorkerID: a.incarnation.ID, Incarnation: a.incarnation.Incarnation}
	for r := range p.runsByIncarnation[a.incarnation] {
		crash.Runs = append(crash.Runs, wire.CrashedRun{Task: r.name(), Run: r.task().Run, AgeMillis: age(r.name()).Milliseconds()})
	}
	report := testReport(agent)
	report.Incarnation = a.incarnation.Incarnation + 1
	report.Crash = crash
	p.HandleReport(report)
	p.HandleReport(report)
}

// crashUnder crashes the worker that runs the task, and returns false if the task is not assigned.
func crashUnder(p *Planner, name string, age func(task string) time.Duration) bool {
	task, _ := p.Task(name)
	if task.Phase != job.PhaseAssigned {
		return false
	}
	var agent int
	if _, err := fmt.Sscanf(task.Worker.Agent, "agent-%d", &agent); err != nil {
		panic(err)
	}
	crashWorker(p, agent, age)
	return true
}

// advance lets the planner work for a time, in the steps of its clock.
func advance(p *Planner, d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.Advance(p.now + 50*time.Millisecond)
		p.Tick()
		commit(p)
	}
}

func stateOf(p *Planner, id string) job.State {
	state, _ := p.JobState(id)
	return state
}

const deadlyTask = "deadly.0.0.0"

// youngIfDeadly is the age of runs where only the task that crashes its workers has just started.
func youngIfDeadly(task string) time.Duration {
	if task == deadlyTask {
		return 10 * time.Millisecond
	}
	return time.Second
}

// startDeadly returns a planner on which the task that crashes its workers runs beside healthy long runs.
func startDeadly(agents int) *Planner {
	p := newTestPlanner(agents)
	for i := range agents {
		addJob(p, fmt.Sprintf("healthy-%d", i), "q", job.Step{Count: 2})
	}
	addJob(p, "deadly", "q", job.Step{Count: 1})
	commit(p)
	return p
}

func TestTaskIsGivenUpAfterTwoCrashesOfItsOwn(t *testing.T) {
	is := is.New(t)
	p := startDeadly(3)
	for range 2 {
		is.Equal(stateOf(p, "deadly"), job.StateRunning)
		is.True(crashUnder(p, deadlyTask, youngIfDeadly))
		advance(p, 2*time.Second)
	}
	is.Equal(stateOf(p, "deadly"), job.StateFailed)
	for i := range 3 {
		is.Equal(stateOf(p, fmt.Sprintf("healthy-%d", i)), job.StateRunning)
	}
}

// TestTaskIsGivenUpWithinTheLimitOfCrashes guards against a task that is never blamed, since others have always just
// started beside it.
func TestTaskIsGivenUpWithinTheLimitOfCrashes(t *testing.T) {
	const allowedCrashes = 5
	for name, age := range map[string]func(string) time.Duration{
		"all just started": func(string) time.Duration { return 20 * time.Millisecond },
		"only others just started": func(task string) time.Duration {
			if task == deadlyTask {
				return time.Second
			}
			return 20 * time.Millisecond
		},
		"none just started": func(string) time.Duration { return time.Second },
		"ages unknown":      func(string) time.Duration { return -time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			p := startDeadly(3)
			crashes := 0
			for stateOf(p, "deadly") != job.StateFailed && crashes <= allowedCrashes {
				if crashUnder(p, deadlyTask, age) {
					crashes++
				}
				advance(p, 2*time.Second)
			}
			if crashes > allowedCrashes {
				t.Errorf("%d workers crashed under the task", crashes)
			}
		})
	}
}

// TestLongRunsAreNotBlamed guards against a sound job that is given up, with no failed run, because a few workers crashed
// long after its tasks had started there.
func TestLongRunsAreNotBlamed(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(3)
	addJob(p, "sound", "q", job.Step{Count: 1})
	commit(p)
	for range maxCrashesBlamed {
		is.True(crashUnder(p, "sound.0.0.0", func(string) time.Duration { return 2 * time.Second }))
		advance(p, 2*time.Second)
		is.Equal(stateOf(p, "sound"), job.StateRunning)
		task, _ := p.Task("sound.0.0.0")
		is.Equal(task.Phase, job.PhaseAssigned)
	}
}

// TestHealthyTasksSurviveCrashesOfOthers guards against healthy jobs that are given up because they run where a task
// crashes its worker.
func TestHealthyTasksSurviveCrashesOfOthers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(4)
	for i := range 6 {
		addJob(p, fmt.Sprintf("deadly-%d", i), "q", job.Step{Count: 1})
		addJob(p, fmt.Sprintf("healthy-%d", i), "q", job.Step{Count: 2})
	}
	commit(p)
	for range 600 {
		advance(p, 50*time.Millisecond)
		for i := range 6 {
			name := fmt.Sprintf("deadly-%d.0.0.0", i)
			if r, ok := p.findTask(name); ok && r.run().ordered {
				crashUnder(p, name, p.ageOf)
			}
		}
	}
	for i := range 6 {
		is.Equal(stateOf(p, fmt.Sprintf("deadly-%d", i)), job.StateFailed)
		is.True(stateOf(p, fmt.Sprintf("healthy-%d", i)) != job.StateFailed)
	}
}

// ageOf returns how long ago the start order of a task's run was sent.
func (p *Planner) ageOf(name string) time.Duration {
	r, _ := p.findTask(name)
	return p.now - r.run().startedAt
}

// TestSuspectedTaskStartsAlone guards against a second crash that can't be blamed on one task.
func TestSuspectedTaskStartsAlone(t *testing.T) {
	is := is.New(t)
	p := startDeadly(3)
	is.True(crashUnder(p, deadlyTask, youngIfDeadly))
	for p.jobs["deadly"].assigned == 0 {
		advance(p, 50*time.Millisecond)
	}
	task, _ := p.Task(deadlyTask)
	before := len(p.runsByIncarnation[task.Worker])
	addJob(p, "later", "q", job.Step{Count: 8})
	commit(p)
	is.Equal(len(p.runsByIncarnation[task.Worker]), before)
	advance(p, probationPeriod+retryInterval)
	is.True(len(p.runsByIncarnation[task.Worker]) > before)
}

// TestSuspectedTaskStartsWhereFewRunsAreLost guards against a second crash that ends many runs although a worker with
// few was free, and against a start beside runs that have just started.
func TestSuspectedTaskStartsWhereFewRunsAreLost(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(3)
	addJob(p, "deadly", "q", job.Step{Count: 1})
	commit(p)
	is.True(crashUnder(p, deadlyTask, youngIfDeadly))
	for i, runs := range []int{0, 2, 1} {
		for range runs {
			p.addAssignment(longRun(p), p.agents[agentName(i)].incarnation)
		}
	}
	p.agents[agentName(0)].lastPlacementAt = p.now
	p.Advance(p.now + 50*time.Millisecond)
	commit(p)
	task, _ := p.Task(deadlyTask)
	is.Equal(task.Worker.Agent, agentName(2))
}

// longRun returns the task of a new job with a long-running task, which takes little room.
func longRun(p *Planner) ref {
	id := fmt.Sprintf("long-%d", len(p.jobs))
	addJob(p, id, "urgent", job.Step{Count: 1, LongRunning: true, Need: resource.Quantity{MilliCPU: 100}})
	r := ref{entry: p.jobs[id]}
	r.entry.setPhase(r, job.PhaseAssigned)
	return r
}

// TestFewSuspectedTasksOfAJobStartAtOnce guards against a job all of whose tasks crash their workers, and takes all
// workers down at once when they are started again.
func TestFewSuspectedTasksOfAJobStartAtOnce(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(8)
	addJob(p, "deadly", "q", job.Step{Count: 16})
	commit(p)
	for i := range 8 {
		crashWorker(p, i, func(string) time.Duration { return 10 * time.Millisecond })
	}
	p.Advance(p.now + time.Second)
	commit(p)
	is.Equal(p.jobs["deadly"].assigned, maxJobProbations)
	advance(p, 10*time.Second)
	is.Equal(p.jobs["deadly"].assigned, 16)
}

// TestCrashIsCountedOnce guards against a task that is given up because reports of one crash are repeated, on one
// coordinator or on the next.
func TestCrashIsCountedOnce(t *testing.T) {
	is := is.New(t)
	p := startDeadly(2)
	task, _ := p.Task(deadlyTask)
	crash := &wire.WorkerCrash{WorkerID: task.Worker.ID, Incarnation: 1, Runs: []wire.CrashedRun{{Task: deadlyTask, Run: 1}}}
	for range 4 {
		p.HandleReport(&wire.AgentReport{Agent: task.Worker.Agent, Crash: crash})
	}
	encoded, err := job.EncodeProgress(p.jobs["deadly"].progress)
	is.NoErr(err)
	progress, err := job.DecodeProgress(encoded)
	is.NoErr(err)
	next := newTestPlanner(0)
	next.AddJob(p.jobs["deadly"].spec, progress, 1, 0)
	next.HandleReport(&wire.AgentReport{Agent: task.Worker.Agent, Crash: crash})
	is.Equal(next.jobs["deadly"].progress.CrashesOf(0, 0), job.TaskCrashes{LastRun: 1, Total: 1, Blamed: 1})
	is.Equal(stateOf(next, "deadly"), job.StateRunning)
}

// TestWatchSurvivesCrashesAtItsStarts guards against a job whose tasks last that is given up, and never restarted, because
// its workers go down soon after its starts, as workers that flap do.
func TestWatchSurvivesCrashesAtItsStarts(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "watch", "q", job.Step{Count: 1, LongRunning: true})
	commit(p)
	for range 2 * maxCrashes {
		is.True(crashUnder(p, "watch.0.0.0", func(string) time.Duration { return 10 * time.Millisecond }))
		is.Equal(stateOf(p, "watch"), job.StateRunning)
		advance(p, 2*time.Second)
	}
	task, _ := p.Task("watch.0.0.0")
	is.Equal(task.Phase, job.PhaseAssigned)
}

// TestWatchSurvivesCrashesOfItsWorkers guards against a long-running task that is given up because its workers keep
// crashing for another reason.
func TestWatchSurvivesCrashesOfItsWorkers(t *testing.T) {
	is := is.New(t)
	p := newTestPlanner(2)
	addJob(p, "watch", "q", job.Step{Count: 1, LongRunning: true})
	commit(p)
	for range 10 {
		is.True(crashUnder(p, "watch.0.0.0", func(string) time.Duration { return time.Minute }))
		advance(p, 2*time.Second)
	}
	is.Equal(stateOf(p, "watch"), job.StateRunning)
	is.True(!strings.Contains(fmt.Sprint(p.TakeEvents()), "given up"))
}
