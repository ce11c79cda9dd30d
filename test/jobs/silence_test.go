package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
)

const (
	// shortPartition is the length of a network partition that running tasks must survive.
	shortPartition = 5500 * time.Millisecond
	// longTaskDuration is a task duration longer than a shortPartition and the reconnect after it.
	longTaskDuration = 14 * time.Second
)

// submitLongJob submits a job whose tasks start at once on all workers and run longer than the faults of the test.
func submitLongJob(is *is.I, r *region) {
	r.work = func(string) jobworker.Work {
		return jobworker.Work{Duration: longTaskDuration, Need: resource.Quantity{MilliCPU: 1000}}
	}
	is.Equal(r.submit(r.leader(), newSpec("0000000000000001", 6)), gateway.Accepted)
	time.Sleep(time.Second)
	is.Equal(r.recorder.Starts(), 6)
}

// checkAllRanOnce checks that the job is done and that no task was started twice.
func checkAllRanOnce(is *is.I, r *region) {
	time.Sleep(longTaskDuration + 2*time.Second)
	state, err := r.state(r.leader(), "0000000000000001")
	is.NoErr(err)
	is.Equal(state, job.StateDone)
	is.Equal(r.recorder.Starts(), 6)
}

// TestWorkOutlastsAShortCut guards against running tasks that are abandoned and started elsewhere because
// their agent was unreachable for some seconds.
func TestWorkOutlastsAShortCut(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		submitLongJob(is, r)
		for _, cut := range []bool{true, false} {
			for _, e := range r.entries {
				r.network.setCut(e.name, r.agents[0].name, cut)
				r.network.setCut(r.agents[0].name, e.name, cut)
			}
			if cut {
				time.Sleep(shortPartition)
			}
		}
		checkAllRanOnce(is, r)
	})
}

// TestWorkOutlastsARestartOfItsAgent guards against running tasks that are lost when their agent restarts.
func TestWorkOutlastsARestartOfItsAgent(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		submitLongJob(is, r)
		r.agents[0].kill()
		time.Sleep(3500 * time.Millisecond)
		r.agents[0].start()
		checkAllRanOnce(is, r)
	})
}

// TestWorkOutlastsAStoreThatIsAway guards against running tasks that are abandoned while the store is down, the
// coordinator can't renew its lease and another entry takes over.
func TestWorkOutlastsAStoreThatIsAway(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		submitLongJob(is, r)
		for _, e := range r.entries {
			e.faulty.SetFaults(storeDown)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, e := range r.entries {
			e.faulty.SetFaults(storeUp)
		}
		checkAllRanOnce(is, r)
	})
}
