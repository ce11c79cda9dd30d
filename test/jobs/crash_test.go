package jobs

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
)

const (
	crashingJob = "00000000000000ff"
	// maxCrashingStarts is the stated limit: after three crashes a task is started less than three times more.
	maxCrashingStarts = 5
)

// runWithCrashingTask submits a job with one task that crashes its workers among other jobs, and checks that only
// this job is given up, in time.
func runWithCrashingTask(t *testing.T, disturb func(r *region, starts *atomic.Int32)) {
	t.Helper()
	runInRegion(t, func(is *is.I, r *region) {
		var crashingStarts atomic.Int32
		r.work = func(task string) jobworker.Work {
			work := jobworker.Work{Duration: 700 * time.Millisecond, Need: resource.Quantity{MilliCPU: 1000}}
			if strings.HasPrefix(task, crashingJob) && strings.HasSuffix(task, ".1") {
				crashingStarts.Add(1)
				work.Crashes = true
			}
			return work
		}
		for i := range 8 {
			is.Equal(r.submit(r.leader(), newSpec(fmt.Sprintf("%016x", i), 4)), gateway.Accepted)
			if i == 2 {
				is.Equal(r.submit(r.leader(), newSpec(crashingJob, 3)), gateway.Accepted)
			}
		}
		disturb(r, &crashingStarts)
		time.Sleep(40 * time.Second)
		starts := crashingStarts.Load()
		if starts > maxCrashingStarts {
			t.Errorf("the task that crashes its workers was started %d times", starts)
		}
		state, err := r.state(r.leader(), crashingJob)
		is.NoErr(err)
		is.Equal(state, job.StateFailed)
		for i := range 8 {
			state, err := r.state(r.leader(), fmt.Sprintf("%016x", i))
			is.NoErr(err)
			is.Equal(state, job.StateDone)
		}
	})
}

func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	runWithCrashingTask(t, func(*region, *atomic.Int32) {})
}

// TestCrashesAreCountedAcrossCoordinators guards against a count of crashes that a new coordinator begins anew: each is
// killed after one crash.
func TestCrashesAreCountedAcrossCoordinators(t *testing.T) {
	runWithCrashingTask(t, func(r *region, starts *atomic.Int32) {
		const kills = 8
		for seed := range uint64(kills) {
			for before, waited := starts.Load(), 0; starts.Load() == before && waited < 100; waited++ {
				time.Sleep(50 * time.Millisecond)
			}
			leader := r.leader()
			leader.kill()
			time.Sleep(2 * time.Second)
			leader.start(seed)
		}
	})
}
