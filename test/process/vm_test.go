package process

import (
	"slices"
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
)

// TestKilledVMMovesTasks guards against tasks lost with their VM, and against a second run of a
// non-idempotent task that had started there.
func TestKilledVMMovesTasks(t *testing.T) { testVM(t, false) }

// TestReplacedVMMovesTasks guards against a VM that returns empty under the same name and address and
// is taken for the one that held the tasks.
func TestReplacedVMMovesTasks(t *testing.T) { testVM(t, true) }

func testVM(t *testing.T, replace bool) {
	c := startCluster(t)
	plans := c.submitMany(8, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 12*time.Second) })
	certificates := c.submitMany(8, "certificate", func(name string) *operatorv1.TaskSpec {
		spec := job(name, 12*time.Second)
		spec.NonIdempotent = true
		return spec
	})
	planTasks, certificateTasks := c.waitRunning(plans), c.waitRunning(certificates)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	time.Sleep(500 * time.Millisecond)
	victim := c.busiest(planTasks, certificateTasks)
	c.killVM(victim)
	if replace {
		victim.vm.start(t)
		victim.agent.start(t)
	}
	lost := taskIDsOn(certificateTasks, victim.name)
	kept := slices.DeleteFunc(slices.Clone(certificates), func(id string) bool { return slices.Contains(lost, id) })
	c.waitFinished(append(slices.Clone(plans), kept...))
	c.waitState(c.entries[0], lost, operatorv1.TaskState_TASK_STATE_UNKNOWN)
	if replace {
		c.waitLive(4)
	}
	requireOnly(requests, requests.finish(), "a VM was killed", unknownOrTold)
	c.checkFinishedOnce(append(slices.Clone(plans), kept...))
	c.checkRanOnce(certificates)
	for id, list := range c.executions() {
		if slices.Contains(plans, id) && len(list) > 2 {
			t.Errorf("task %s ran more than once more: %s", id, describe(list))
		}
	}
	c.checkNoOverlap()
}

// busiest returns the worker with tasks of both lists, and the most of them.
func (c *cluster) busiest(first, second []*operatorv1.Task) *workerNode {
	c.t.Helper()
	var best *workerNode
	most := 0
	for _, w := range c.workers {
		a, b := len(taskIDsOn(first, w.name)), len(taskIDsOn(second, w.name))
		if b > 0 && a+b > most {
			best, most = w, a+b
		}
	}
	if best == nil {
		c.t.Fatal("no worker runs a non-idempotent task")
	}
	return best
}
