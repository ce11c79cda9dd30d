package process

import (
	"slices"
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/worker"
)

// TestKilledAgentAdoptsTasks guards against a restarted agent that starts its tasks a second time, and
// against a second run of a request whose outcome the killed agent took with it.
func TestKilledAgentAdoptsTasks(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec {
		spec := job(name, 15*time.Second)
		spec.NonIdempotent = true
		return spec
	})
	tasks := c.waitRunning(ids)
	for _, w := range c.workers {
		c.put(w.control, worker.PathSettings, worker.TargetSettings{ServiceMillis: 200})
	}
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	time.Sleep(time.Second)
	victim := c.worker(tasks[0].GetWorker())
	victim.agent.kill()
	time.Sleep(500 * time.Millisecond)
	victim.agent.start(t)
	c.waitLive(4)
	c.waitFinished(ids)
	requireOnly(requests, requests.finish(), "an agent was killed", unknownOrTold)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
}

// TestFrozenAgentLosesTasks guards against an agent that goes on with its tasks after a pause in which
// they were moved, and against tasks that are moved before they have stopped.
func TestFrozenAgentLosesTasks(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(12, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 14*time.Second) })
	tasks := c.waitRunning(ids)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	victim := c.worker(tasks[0].GetWorker())
	victim.agent.freeze()
	moved := taskIDsOn(tasks, victim.name)
	c.eventually("the tasks of the frozen agent run elsewhere", func() error {
		executions := c.executions()
		for _, id := range moved {
			if err := ranElsewhere(executions[id], victim); err != nil {
				return err
			}
		}
		return nil
	})
	victim.agent.resume()
	c.waitLive(4)
	c.waitFinished(ids)
	requireOnly(requests, requests.finish(), "an agent was frozen", unknownOrTold)
	c.checkFinishedOnce(ids)
	c.checkNoOverlap()
}

// taskIDsOn returns the ids of the tasks on a worker.
func taskIDsOn(tasks []*operatorv1.Task, name string) []string {
	var ids []string
	for _, each := range tasks {
		if each.GetWorker() == name {
			ids = append(ids, each.GetId())
		}
	}
	return ids
}

// ranElsewhere reports as an error that no execution was on a worker other than the victim.
func ranElsewhere(list []execution, victim *workerNode) error {
	if slices.ContainsFunc(list, func(e execution) bool { return e.worker != victim }) {
		return nil
	}
	return errNotElsewhere
}
