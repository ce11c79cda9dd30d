package jobs

import (
	"fmt"
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
	batchID    = "00000000000000bb"
	batchTasks = 6
	// entryDowntime is how long a killed coordinator stays down.
	entryDowntime = 500 * time.Millisecond
	// takeoverTime bounds the time from a kill of the coordinator to the next term.
	takeoverTime = 2300 * time.Millisecond
	// moveDelay bounds the time from the end of the authority to the next starts.
	moveDelay = 400 * time.Millisecond
)

// cutOff cuts the links between an agent and all entries, or restores them.
func (r *region) cutOff(a *agentProcess, cut bool) {
	for _, e := range r.entries {
		r.network.setCut(e.name, a.name, cut)
		r.network.setCut(a.name, e.name, cut)
	}
}

// loseMachine cuts an agent off from all entries and crashes its worker, both for good. The links stay open and silent,
// as after a loss of power, unless the machine is shut down.
func (r *region) loseMachine(a *agentProcess, shutDown bool) {
	r.cutOff(a, true)
	a.worker.Crash()
	if shutDown {
		a.kill()
	}
}

// replaceCoordinator kills the coordinator and starts its entry again.
func (r *region) replaceCoordinator(seed uint64) {
	leader := r.leader()
	leader.kill()
	time.Sleep(entryDowntime)
	leader.start(seed)
}

// tasksOn returns the tasks that run on the worker of an agent.
func (r *region) tasksOn(a *agentProcess) []string {
	r.recorder.Mu.Lock()
	defer r.recorder.Mu.Unlock()
	var tasks []string
	for task, workers := range r.recorder.Running {
		if workers["worker-"+a.name] {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// longestGaps returns the longest time from the loss of a machine to the next start of its tasks that last and of its
// other tasks.
func (r *region) longestGaps(tasks []string, lostAt time.Time) (lasting, batch time.Duration) {
	r.recorder.Mu.Lock()
	defer r.recorder.Mu.Unlock()
	for _, task := range tasks {
		gap := r.recorder.LastStart[task].Sub(lostAt)
		if gap < 0 {
			r.t.Errorf("%s does not run again", task)
		}
		if name, _ := job.ParseTaskName(task); name.Job == watchID {
			lasting = max(lasting, gap)
		} else {
			batch = max(batch, gap)
		}
	}
	return lasting, batch
}

// lostMachineCase is the loss of a machine and the coordinators that are killed after it.
type lostMachineCase struct {
	// shutDown is set if the links are closed, not silent.
	shutDown bool
	// kills is the number of coordinators that are killed, the first after the delay, the others killInterval apart.
	kills int
	delay time.Duration
}

const killInterval = 4 * time.Second

func (c lostMachineCase) String() string {
	return fmt.Sprintf("shut down=%v, kills=%d, first after %s", c.shutDown, c.kills, c.delay)
}

// lastKill returns when the last coordinator is killed, counted from the loss.
func (c lostMachineCase) lastKill() time.Duration {
	return c.delay + time.Duration(c.kills-1)*killInterval
}

// bound returns the longest time for which the tasks of the lost machine may wait.
func (c lostMachineCase) bound() time.Duration {
	bound := authority + authorityMargin + moveDelay
	if c.kills > 0 {
		bound += c.lastKill() + takeoverTime
	}
	return bound
}

// TestTasksOfALostMachineRunAgain guards against tasks that wait for longer than a takeover and the authority of their
// agent, counted from the latest change of the coordinator, when a machine is lost with its agent.
func TestTasksOfALostMachineRunAgain(t *testing.T) {
	for _, shutDown := range []bool{false, true} {
		cases := []lostMachineCase{{shutDown: shutDown}}
		for _, kills := range []int{1, 3} {
			for _, delay := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
				cases = append(cases, lostMachineCase{shutDown, kills, delay})
			}
		}
		for _, c := range cases {
			t.Run(c.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLostMachineCase(t, c) })
			})
		}
	}
}

func runLostMachineCase(t *testing.T, c lostMachineCase) {
	is := is.New(t)
	r := newRegion(t, 4, 4, 1)
	time.Sleep(3 * time.Second)
	submitWatch(is, r)
	r.work = func(string) jobworker.Work {
		return jobworker.Work{Duration: time.Minute, Need: resource.Quantity{MilliCPU: 1000}}
	}
	is.Equal(r.submit(r.leader(), newSpec(batchID, batchTasks)), gateway.Accepted)
	time.Sleep(time.Second)
	tasks, lostAt := r.tasksOn(r.agents[0]), time.Now()
	is.True(len(tasks) > 0)
	r.loseMachine(r.agents[0], c.shutDown)
	time.Sleep(c.delay)
	for i := range c.kills {
		r.replaceCoordinator(uint64(100 + i))
		time.Sleep(killInterval - entryDowntime)
	}
	time.Sleep(c.bound())
	lasting, batch := r.longestGaps(tasks, lostAt)
	t.Logf("tasks that last run again within %s, the others within %s", lasting, batch)
	if lasting > c.bound() || batch > c.bound() {
		t.Errorf("want at most %s", c.bound())
	}
	r.checkGuarantees()
	r.stop()
	time.Sleep(time.Minute)
}

// TestReturnedAgentKeepsItsTasks guards against tasks that are moved while they run, because a new coordinator counts
// their agent's authority from a loss of its link that a former coordinator has seen the agent return from (TWICE).
func TestReturnedAgentKeepsItsTasks(t *testing.T) {
	kill := func(r *region) { r.replaceCoordinator(100) }
	stop := func(r *region) { r.leader().restart(101) }
	none := func(*region) {}
	for name, changes := range map[string]struct{ whileCut, afterReturn func(r *region) }{
		"killed":             {none, kill},
		"stopped":            {none, stop},
		"stopped and killed": {stop, kill},
		"stopped twice":      {stop, stop},
		"killed and stopped": {kill, stop},
	} {
		for _, reachable := range []time.Duration{0, 50 * time.Millisecond, 450 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%s, reachable for %s", name, reachable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRegion(t, 4, 4, 0.98)
					time.Sleep(3 * time.Second)
					submitWatch(is.New(t), r)
					cut := func(cut bool) {
						for _, a := range r.agents[:2] {
							r.cutOff(a, cut)
						}
					}
					cut(true)
					time.Sleep(3 * time.Second)
					changes.whileCut(r)
					time.Sleep(2 * time.Second)
					cut(false)
					time.Sleep(time.Second + reachable)
					cut(true)
					changes.afterReturn(r)
					time.Sleep(20 * time.Second)
					r.checkGuarantees()
					r.stop()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
