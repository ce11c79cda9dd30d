package jobs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
)

// runInRegion runs a test in a region of two entries and three agents, in virtual time.
func runInRegion(t *testing.T, test func(is *is.I, r *region)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 2, 3, 1)
		time.Sleep(3 * time.Second)
		test(is.New(t), r)
		r.checkGuarantees()
		r.stop()
	})
}

// leader returns the running entry that is the coordinator, or the first entry if there is none.
func (r *region) leader() *entryProcess {
	for _, e := range r.entries {
		if address, _ := e.local.Leader(); e.cancel != nil && address == e.name {
			return e
		}
	}
	return r.entries[0]
}

// nonLeader returns a running entry that is not the coordinator, or the leader if there is none.
func (r *region) nonLeader() *entryProcess {
	leader := r.leader()
	for _, e := range r.entries {
		if e != leader && e.cancel != nil {
			return e
		}
	}
	return leader
}

// TestTwoSteps guards against a job whose second step starts early, late or never, and against a second
// submission with the same id that creates a second job.
func TestTwoSteps(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000001", 3, 2)), gateway.Accepted)
		is.Equal(r.submit(r.leader(), newSpec("0000000000000001", 3, 2)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		state, err := r.state(r.nonLeader(), "0000000000000001")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
		is.Equal(r.recorder.Starts(), 5)
	})
}

// TestHandInToStart guards against a wait for a timer between the submission and the first start, and
// between the end of a step and the start of the next.
func TestHandInToStart(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		startedAt := time.Now()
		is.Equal(r.submit(r.leader(), newSpec("0000000000000002", 1, 1)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		r.recorder.Mu.Lock()
		defer r.recorder.Mu.Unlock()
		first := r.recorder.LastStart["0000000000000002.0.0.0"]
		second := r.recorder.LastStart["0000000000000002.0.1.0"]
		is.True(first.Sub(startedAt) <= 40*time.Millisecond)
		is.True(second.Sub(r.recorder.DoneAt["0000000000000002.0.0.0"]) <= 40*time.Millisecond)
	})
}

// TestCancel guards against a cancelled job that keeps running or has a state other than cancelled.
func TestCancel(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		is.Equal(r.submit(r.leader(), newSpec("0000000000000003", 4, 4, 4)), gateway.Accepted)
		time.Sleep(300 * time.Millisecond)
		is.Equal(r.cancel(r.nonLeader(), "0000000000000003"), gateway.Accepted)
		time.Sleep(time.Second)
		state, err := r.state(r.nonLeader(), "0000000000000003")
		is.NoErr(err)
		is.Equal(state, job.StateCancelled)
		is.Equal(r.cancel(r.nonLeader(), "00000000000000ff"), gateway.NoJob)
		r.recorder.Mu.Lock()
		defer r.recorder.Mu.Unlock()
		for task, workers := range r.recorder.Running {
			if len(workers) > 0 {
				t.Errorf("%s still runs", task)
			}
		}
	})
}

// TestHopelessJob guards against a task that always fails and gets more attempts than its queue allows, and
// against a job with such a task that never becomes failed.
func TestHopelessJob(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.work = func(string) jobworker.Work {
			return jobworker.Work{Duration: 100 * time.Millisecond, Need: resource.Quantity{MilliCPU: 1000}, Fails: true}
		}
		is.Equal(r.submit(r.leader(), newSpec("0000000000000004", 1)), gateway.Accepted)
		time.Sleep(12 * time.Second)
		state, err := r.state(r.leader(), "0000000000000004")
		is.NoErr(err)
		is.Equal(state, job.StateFailed)
		is.Equal(r.recorder.Starts(), 3)
	})
}

// TestWorkerLost guards against tasks of a dead worker that are never started again, and against tasks
// that are started again while a partitioned worker still runs them.
func TestWorkerLost(t *testing.T) {
	for _, loss := range []string{"crash and restart", "gone", "silent", "cut off"} {
		t.Run(loss, func(t *testing.T) {
			runInRegion(t, func(is *is.I, r *region) {
				r.work = func(string) jobworker.Work {
					return jobworker.Work{Duration: 3 * time.Second, Need: resource.Quantity{MilliCPU: 1000}}
				}
				is.Equal(r.submit(r.leader(), newSpec("0000000000000005", 9)), gateway.Accepted)
				time.Sleep(time.Second)
				lost := r.agents[0]
				switch loss {
				case "crash and restart":
					lost.worker.Crash()
					time.Sleep(500 * time.Millisecond)
					lost.worker.Restart()
				case "gone":
					lost.worker.Crash()
				case "silent":
					lost.worker.SetUnresponsive(true)
				case "cut off":
					for _, e := range r.entries {
						r.network.setCut(e.name, lost.name, true)
						r.network.setCut(lost.name, e.name, true)
					}
				}
				time.Sleep(14 * time.Second)
				state, err := r.state(r.leader(), "0000000000000005")
				is.NoErr(err)
				is.Equal(state, job.StateDone)
			})
		})
	}
}

// TestCoordinatorKilled guards against tasks that are lost or run twice when the coordinator is killed, and
// against a takeover that takes much longer than the coordinator's lease.
func TestCoordinatorKilled(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		is.Equal(r.submit(r.leader(), newSpec("0000000000000006", 6, 6)), gateway.Accepted)
		time.Sleep(350 * time.Millisecond)
		r.leader().kill()
		time.Sleep(6 * time.Second)
		state, err := r.state(r.nonLeader(), "0000000000000006")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
		is.Equal(r.recorder.Starts(), 12)
	})
}

// TestAllKilled guards against an accepted job that is lost when all entries and agents are killed right
// after the acknowledgement.
func TestAllKilled(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		is.Equal(r.submit(r.nonLeader(), newSpec("0000000000000007", 4, 2)), gateway.Accepted)
		for _, e := range r.entries {
			e.kill()
		}
		for _, a := range r.agents {
			a.kill()
		}
		time.Sleep(2 * time.Second)
		for i, e := range r.entries {
			e.start(uint64(100 + i))
		}
		for _, a := range r.agents {
			a.start()
		}
		time.Sleep(12 * time.Second)
		state, err := r.state(r.nonLeader(), "0000000000000007")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
	})
}

// TestZoneOut guards against a start in a zone that was taken out of service, and against tasks that
// wait although another zone has free capacity.
func TestZoneOut(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.setZoneOutOfService("north", true)
		is.Equal(r.submit(r.leader(), newSpec("0000000000000008", 4)), gateway.Accepted)
		time.Sleep(3 * time.Second)
		state, err := r.state(r.leader(), "0000000000000008")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
		r.recorder.Mu.Lock()
		defer r.recorder.Mu.Unlock()
		is.Equal(r.recorder.StartsOn["worker-agent-0"], 0) // the agents 0 and 2 are in the zone
		is.Equal(r.recorder.StartsOn["worker-agent-2"], 0)
		is.Equal(r.recorder.StartsOn["worker-agent-1"], 4)
	})
}

// TestOpenOutcomeIsToldSoon guards against a caller that waits until its deadline while the store does not
// respond, and against a refusal of such a job, which may have been stored.
func TestOpenOutcomeIsToldSoon(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		for _, e := range r.entries {
			e.faulty.SetFaults(kvstore.Faults{LoseAnswerPercent: 100})
		}
		startedAt := time.Now()
		is.Equal(r.submit(r.entries[0], newSpec("0000000000000001", 1)), gateway.Unknown)
		is.True(time.Since(startedAt) <= 1500*time.Millisecond) // half of the caller's timeout
		is.Equal(r.submit(r.entries[0], newSpec("0000000000000001", 1)), gateway.Unknown)
		for _, e := range r.entries {
			e.faulty.SetFaults(storeUp)
		}
		is.Equal(r.submit(r.entries[1], newSpec("0000000000000001", 1)), gateway.Accepted)
		time.Sleep(10 * time.Second)
		is.Equal(r.recorder.Starts(), 1)
	})
}

// TestStartWithoutTheWatch guards against a job that waits because the coordinator's watch of the store misses
// or delays events, although the entry that stored the job can notify the coordinator.
func TestStartWithoutTheWatch(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.leader().faulty.SetFaults(kvstore.Faults{MissEventPercent: 100})
		for i, e := range []*entryProcess{r.nonLeader(), r.leader()} {
			id := []string{"0000000000000001", "0000000000000002"}[i]
			startedAt := time.Now()
			is.Equal(r.submit(e, newSpec(id, 1)), gateway.Accepted)
			time.Sleep(500 * time.Millisecond)
			r.recorder.Mu.Lock()
			first, started := r.recorder.LastStart[id+".0.0.0"]
			r.recorder.Mu.Unlock()
			is.True(started)
			is.True(first.Sub(startedAt) <= 40*time.Millisecond)
		}
	})
}

// TestCancelBeforeANewCoordinator guards against a coordinator that restarts the tasks of a job that was cancelled
// before its term: it reads the cancellation before the job.
func TestCancelBeforeANewCoordinator(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		r.work = func(string) jobworker.Work {
			return jobworker.Work{Duration: 30 * time.Second, Need: resource.Quantity{MilliCPU: 1000}}
		}
		const id = "0000000000000003"
		is.Equal(r.submit(r.leader(), newSpec(id, 4, 4)), gateway.Accepted)
		time.Sleep(300 * time.Millisecond)
		leader, other := r.leader(), r.nonLeader()
		r.network.setCut(leader.name, other.name, true)
		r.network.setCut(other.name, leader.name, true)
		leader.faulty.SetFaults(storeDown)
		is.Equal(r.cancel(other, id), gateway.Accepted)
		leader.kill()
		time.Sleep(handoverTimeout)
		state, err := r.state(other, id)
		is.NoErr(err)
		is.Equal(state, job.StateCancelled)
		is.Equal(activeRuns(r), 0)
		is.Equal(r.recorder.Starts(), 4)
	})
}
