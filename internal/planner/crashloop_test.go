package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/job"
	"clementineflow/internal/wire"
)

// keepCrashing submits jobs of two tasks while the worker of the first of four agents crashes 120 ms after each of its first
// starts. It returns the planner, the number of jobs and the number of crashes.
func keepCrashing() (p *Planner, jobs, crashes int) {
	const rounds = 4
	jobs = 6
	p = newTestPlanner(4)
	justStarted := func(string) time.Duration { return 120 * time.Millisecond }
	for i := range jobs {
		addJob(p, fmt.Sprintf("sound-%d", i), "q", job.Step{Count: 2})
		for range rounds {
			advance(p, 150*time.Millisecond)
			if len(p.runsByIncarnation[p.agents[agentName(0)].incarnation]) > 0 {
				crashWorker(p, 0, justStarted)
				crashes++
			}
		}
	}
	return p, jobs, crashes
}

// TestSoundJobsSurviveAWorkerThatKeepsCrashing guards against sound jobs that are given up because a worker crashes by
// itself soon after each of its starts: it has the fewest runs then, so the tasks that were blamed went there again (LOST).
func TestSoundJobsSurviveAWorkerThatKeepsCrashing(t *testing.T) {
	is := is.New(t)
	p, jobs, _ := keepCrashing()
	for i := range jobs {
		is.Equal(stateOf(p, fmt.Sprintf("sound-%d", i)), job.StateRunning)
	}
}

// TestWorkerThatKeepsCrashingIsTheLastChoice guards against a worker that gets tasks at once after each of its crashes,
// which counts against more and more of them: it is the idlest one then.
func TestWorkerThatKeepsCrashingIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	_, _, crashes := keepCrashing()
	is.Equal(crashes, crashLoopAfter)
}

// TestCrashIsCountedOnceForItsWorker guards against a sound worker that becomes the last choice because its agent repeats
// the report of one crash, or because it crashed long after its starts.
func TestCrashIsCountedOnceForItsWorker(t *testing.T) {
	is := is.New(t)
	crash := func(incarnation, ageMillis int64) *wire.WorkerCrash {
		return &wire.WorkerCrash{Incarnation: incarnation, Runs: []wire.CrashedRun{{AgeMillis: ageMillis}, {AgeMillis: -1}}}
	}
	h := crashHistory{}
	now := time.Minute
	h.add(crash(1, 10), now)
	h.add(crash(1, 10), now)
	h.add(crash(2, -1), now)
	is.True(!h.looping(now))
	h.add(crash(3, 10), now)
	is.True(h.looping(now))
	is.True(!h.looping(now + crashMemory + time.Second))
	h.add(crash(4, time.Hour.Milliseconds()), now)
	is.True(!h.looping(now))
}
