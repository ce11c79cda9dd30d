package jobs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/store"
)

const failingJob = "0000000000000001"

// runWithFailingTask submits a job whose first runs fail, calls change while the first one is active, and returns the
// state of the job after all runs. A task of the test's queue may fail three times.
func runWithFailingTask(t *testing.T, failures int32, change func(r *region)) (state job.State) {
	t.Helper()
	runInRegion(t, func(is *is.I, r *region) {
		var starts atomic.Int32
		r.work = func(string) jobworker.Work {
			return jobworker.Work{
				Duration: 3 * time.Second, Need: resource.Quantity{MilliCPU: 1000}, Fails: starts.Add(1) <= failures,
			}
		}
		is.Equal(r.submit(r.leader(), newSpec(failingJob, 1)), gateway.Accepted)
		time.Sleep(time.Second)
		change(r)
		time.Sleep(30 * time.Second)
		var err error
		state, err = r.state(r.leader(), failingJob)
		if err != nil {
			t.Error(err)
		}
	})
	return state
}

// restartWithoutConfiguration restarts all entries while the store has no configuration, and writes one after the first
// run of the job has failed.
func restartWithoutConfiguration(r *region) {
	key := testSource{}.ConfigurationKey()
	if _, err := r.memory.Commit(context.Background(), store.Transaction{Deletes: []string{key}}); err != nil {
		r.t.Fatal(err)
	}
	for _, e := range r.entries {
		e.kill()
	}
	for i, e := range r.entries {
		e.start(uint64(i))
	}
	time.Sleep(6 * time.Second)
	r.configure("2")
}

// dropQueue removes the queue of the job until its first run has failed.
func dropQueue(r *region) {
	r.configure(configWithoutQueue)
	time.Sleep(5 * time.Second)
	r.configure("3")
}

// TestFailureBeforeTheConfiguration guards against a coordinator that starts without a configuration and gives up jobs
// after one failed run, as if their queues allowed a single attempt.
func TestFailureBeforeTheConfiguration(t *testing.T) {
	is := is.New(t)
	is.Equal(runWithFailingTask(t, 1, restartWithoutConfiguration), job.StateDone)
	is.Equal(runWithFailingTask(t, 3, restartWithoutConfiguration), job.StateFailed)
}

// TestFailureInADroppedQueue guards against jobs that are given up after one failed run while the operator's
// configuration lacks their queue.
func TestFailureInADroppedQueue(t *testing.T) {
	is := is.New(t)
	is.Equal(runWithFailingTask(t, 1, dropQueue), job.StateDone)
	is.Equal(runWithFailingTask(t, 3, dropQueue), job.StateFailed)
	is.Equal(runWithFailingTask(t, 3, func(r *region) { r.configure(configWithoutQueue) }), job.StateFailed)
}
