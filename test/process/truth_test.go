package process

import (
	"slices"
	"time"

	"clementineflow/internal/standin/worker"
)

// execution is one run of a task attempt on a worker.
type execution struct {
	worker.Execution
	worker *workerNode
}

// worker returns the worker with the name.
func (c *cluster) worker(name string) *workerNode {
	c.t.Helper()
	index := slices.IndexFunc(c.workers, func(w *workerNode) bool { return w.name == name })
	if index < 0 {
		c.t.Fatalf("no worker %q", name)
	}
	return c.workers[index]
}

// killVM kills the agent and then the stand-in, whose ground truth is kept with the end of all its
// executions at the time of the kill.
func (c *cluster) killVM(w *workerNode) {
	c.t.Helper()
	w.agent.kill()
	c.archive(w)
	w.vm.kill()
}

// archive keeps the ground truth of a stand-in that is about to end.
func (c *cluster) archive(w *workerNode) {
	c.t.Helper()
	state, target := c.truth(w)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, e := range state.Executions {
		if e.StoppedAt.IsZero() {
			e.StoppedAt, e.Ending = now, "killed"
		}
		w.archive = append(w.archive, execution{e, w})
	}
	for id, count := range target.Executions {
		w.archiveRequest[id] += count
	}
}

// truth returns the ground truth of a running stand-in.
func (c *cluster) truth(w *workerNode) (worker.RuntimeState, worker.TargetState) {
	c.t.Helper()
	state, err := getJSON[worker.RuntimeState](w.control, worker.PathRuntime)
	if err != nil {
		c.t.Fatal(err)
	}
	target, err := getJSON[worker.TargetState](w.control, worker.PathTarget)
	if err != nil {
		c.t.Fatal(err)
	}
	return state, target
}

// alive reports whether the stand-in of the worker runs.
func (w *workerNode) alive() bool { return w.vm.running() }

// executions returns all executions by task, in the order of their starts.
func (c *cluster) executions() map[string][]execution {
	c.t.Helper()
	byTask := map[string][]execution{}
	for _, w := range c.workers {
		all := slices.Clone(w.archive)
		if w.alive() {
			state, _ := c.truth(w)
			for _, e := range state.Executions {
				all = append(all, execution{e, w})
			}
		}
		for _, e := range all {
			byTask[e.TaskID] = append(byTask[e.TaskID], e)
		}
	}
	for _, list := range byTask {
		slices.SortFunc(list, func(a, b execution) int { return a.StartedAt.Compare(b.StartedAt) })
	}
	return byTask
}

// requestRuns returns how often each request id was run by all targets.
func (c *cluster) requestRuns() map[string]int {
	c.t.Helper()
	runs := map[string]int{}
	for _, w := range c.workers {
		for id, count := range w.archiveRequest {
			runs[id] += count
		}
		if w.alive() {
			_, target := c.truth(w)
			for id, count := range target.Executions {
				runs[id] += count
			}
		}
	}
	return runs
}

// checkNoOverlap fails if two executions of a task overlapped in time, or if a worker was given more
// than it can hold.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	for id, list := range c.executions() {
		for i := 1; i < len(list); i++ {
			previous := list[i-1]
			if previous.StoppedAt.IsZero() || list[i].StartedAt.Before(previous.StoppedAt) {
				c.t.Errorf("task %s ran twice at a time: attempt %d on %s until %s and attempt %d on %s from %s", id,
					previous.Attempt, previous.worker.name, previous.StoppedAt, list[i].Attempt, list[i].worker.name, list[i].StartedAt)
			}
		}
	}
	for _, w := range c.workers {
		if !w.alive() {
			continue
		}
		state, _ := c.truth(w)
		if !state.PeakSize.FitsIn(state.Capacity) {
			c.t.Errorf("worker %s was given %v of %v", w.name, state.PeakSize, state.Capacity)
		}
	}
}
