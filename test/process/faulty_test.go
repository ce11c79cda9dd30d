package process

import (
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/worker"
)

// TestFaultyWorker guards against work lost on a worker that fails everything it starts: the jobs
// finish on other workers, and none is given up because of the faulty one.
func TestFaultyWorker(t *testing.T) {
	c := startCluster(t)
	faulty := c.workers[0]
	c.put(faulty.control, worker.PathFaults, worker.Faults{FailStarts: true})
	ids := c.submitMany(40, "plan", func(name string) *operatorv1.TaskSpec { return job(name, time.Second) })
	c.waitFinished(ids)
	c.checkFinishedOnce(ids)
	c.checkNoOverlap()
	failed := 0
	for _, list := range c.executions() {
		for _, e := range list {
			if e.worker == faulty {
				failed++
			}
		}
	}
	if failed == 0 {
		t.Error("the faulty worker was given nothing, so the rule was not put to the test")
	}
	t.Logf("%d starts on the faulty worker for %d jobs", failed, len(ids))
	c.put(faulty.control, worker.PathFaults, worker.Faults{})
}

// TestFailingJobIsQuarantined guards against a job that fails everywhere and is started for ever, or
// that takes good workers out of use with it.
func TestFailingJobIsQuarantined(t *testing.T) {
	c := startCluster(t)
	bad := job("bad", 200*time.Millisecond)
	bad.Payload = []byte(`{"run_ms":200,"fail":true}`)
	id := c.submit(c.entries[0], bad)
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec { return job(name, time.Second) })
	read := c.waitState(c.entries[1], []string{id}, operatorv1.TaskState_TASK_STATE_QUARANTINED)[0]
	workers := map[string]bool{}
	for _, failure := range read.GetFailures() {
		workers[failure.GetWorker()] = true
	}
	if len(workers) < 3 {
		t.Errorf("the job was quarantined after failures on %d distinct workers", len(workers))
	}
	c.waitFinished(ids)
	starts := len(c.executions()[id])
	time.Sleep(5 * time.Second)
	if after := len(c.executions()[id]); after != starts {
		t.Errorf("the quarantined job was started %d more times", after-starts)
	}
	c.checkFinishedOnce(ids)
	c.checkNoOverlap()
}
