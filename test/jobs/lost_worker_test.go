package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
)

const (
	// maxIdleTime is the stated limit: a task that lasts runs again within this time after its last run.
	maxIdleTime = 9 * time.Second
	watchID     = "00000000000000aa"
	watchTasks  = 6
	// lostWorkers of the six workers of a history are lost. lossJobs is the number of its other jobs.
	lostWorkers = 2
	lossJobs    = 6
)

// lossSeeds is the number of seeded histories of lost workers.
var lossSeeds = flag.Int("loss-seeds", 30, "number of histories in which workers are lost for good")

// submitWatch submits a job whose tasks last, and waits until all of them run.
func submitWatch(is *is.I, r *region) {
	r.work = func(task string) jobworker.Work {
		if strings.HasPrefix(task, watchID) {
			return jobworker.Work{Duration: time.Hour, Need: resource.Quantity{MilliCPU: 1000}}
		}
		return jobworker.Work{Duration: 2 * time.Second, Need: resource.Quantity{MilliCPU: 1000}}
	}
	spec := newSpec(watchID, watchTasks)
	spec.Steps[0].LongRunning = true
	is.Equal(r.submit(r.leader(), spec), gateway.Accepted)
	time.Sleep(time.Second)
	is.Equal(r.recorder.Starts(), watchTasks)
}

// activeRuns returns the number of runs on the workers of the region.
func activeRuns(r *region) int {
	runs := 0
	for _, a := range r.agents {
		runs += a.worker.ActiveRuns()
	}
	return runs
}

// TestTasksOfALostWorkerRunAgain guards against tasks that never run again because the only message that their worker is
// lost for good was dropped: no coordinator was linked, or the agent restarted and knows no worker.
func TestTasksOfALostWorkerRunAgain(t *testing.T) {
	cases := []struct {
		name   string
		faults func(r *region)
	}{
		{"coordinator killed", func(r *region) {
			r.agents[0].worker.Crash()
			time.Sleep(150 * time.Millisecond)
			r.leader().kill()
		}},
		{"agent restarted", func(r *region) {
			r.agents[0].worker.Crash()
			r.agents[0].kill()
			time.Sleep(300 * time.Millisecond)
			r.agents[0].start()
		}},
		{"lost in its first moments", func(r *region) {
			r.agents[0].worker.Crash()
			r.agents[0].worker.Restart()
			time.Sleep(reportInterval)
			r.agents[0].worker.Crash()
		}},
		{"agent and coordinator restarted", func(r *region) {
			r.agents[0].worker.Crash()
			r.agents[0].kill()
			r.leader().kill()
			time.Sleep(300 * time.Millisecond)
			r.agents[0].start()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInRegion(t, func(is *is.I, r *region) {
				submitWatch(is, r)
				c.faults(r)
				time.Sleep(maxIdleTime)
				if runs := activeRuns(r); runs != watchTasks {
					t.Errorf("%d of %d tasks that last run", runs, watchTasks)
				}
			})
		})
	}
}

// TestLostWorkerHistories guards against other orders of the same events: workers are lost for good while agents and
// entries are killed around them, and every accepted job still has to end.
func TestLostWorkerHistories(t *testing.T) {
	for seed := range uint64(*lossSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLossHistory(t, seed) })
		})
	}
}

// loseWorker stops the worker of an agent for good, and kills and starts the coordinator, the agent or both around that.
func loseWorker(r *region, a *agentProcess, random *rand.Rand) {
	pause := func() { time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond) }
	a.worker.Crash()
	pause()
	leader := r.leader()
	if random.IntN(4) > 0 {
		leader.kill()
		pause()
	}
	if random.IntN(2) == 0 {
		a.kill()
		pause()
		a.start()
	}
	if leader.cancel == nil {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		leader.start(random.Uint64())
	}
}

func lossJobID(i int) string { return fmt.Sprintf("%016x", i) }

func runLossHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	r := newRegion(t, 3, 6, 0.98+0.02*random.Float64())
	is := is.New(t)
	time.Sleep(3 * time.Second)
	submitWatch(is, r)
	for i := range lossJobs {
		is.Equal(r.submit(r.leader(), newSpec(lossJobID(i), 4, 3)), gateway.Accepted)
	}
	time.Sleep(time.Second)
	for _, a := range r.agents[:lostWorkers] {
		loseWorker(r, a, random)
	}
	time.Sleep(settleTime)
	for i := range lossJobs {
		state, err := r.state(r.leader(), lossJobID(i))
		givenUp := state == job.StateFailed && r.recorder.MayBeGivenUp(lossJobID(i))
		if err != nil || state != job.StateDone && !givenUp {
			t.Errorf("job %d is %s: %v", i, state, err)
		}
	}
	if runs := activeRuns(r); runs != watchTasks {
		t.Errorf("%d of %d tasks that last run", runs, watchTasks)
	}
	r.checkGuarantees()
	r.stop()
	time.Sleep(time.Minute)
}
