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
	// shortCut is a cut that running work must outlast.
	shortCut = 5500 * time.Millisecond
	// longWork outlasts a shortCut and the links that are opened again after it.
	longWork = 14 * time.Second
)

// startLongWork hands in a job whose tasks run at once on all workers and outlast what the test does to them.
func startLongWork(is *is.I, r *region) {
	r.work = func(string) jobworker.Work {
		return jobworker.Work{Duration: longWork, Need: resource.Quantity{MilliCPU: 1000}}
	}
	is.Equal(r.submit(r.leader(), spec("0000000000000001", 6)), gateway.Accepted)
	time.Sleep(time.Second)
	is.Equal(r.ledger.Starts(), 6)
}

// checkRanOnce makes sure that the long work is done and that none of it was started again.
func checkRanOnce(is *is.I, r *region) {
	time.Sleep(longWork + 2*time.Second)
	state, err := r.state(r.leader(), "0000000000000001")
	is.NoErr(err)
	is.Equal(state, job.StateDone)
	is.Equal(r.ledger.Starts(), 6)
}

// TestWorkOutlastsAShortCut guards against running work that is given up and started elsewhere because its
// agent was silent for some seconds.
func TestWorkOutlastsAShortCut(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		startLongWork(is, r)
		for _, cut := range []bool{true, false} {
			for _, e := range r.entries {
				r.network.setCut(e.name, r.agents[0].name, cut)
				r.network.setCut(r.agents[0].name, e.name, cut)
			}
			if cut {
				time.Sleep(shortCut)
			}
		}
		checkRanOnce(is, r)
	})
}

// TestWorkOutlastsARestartOfItsAgent guards against work that is lost with the process beside it.
func TestWorkOutlastsARestartOfItsAgent(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		startLongWork(is, r)
		r.agents[0].kill()
		time.Sleep(3500 * time.Millisecond)
		r.agents[0].start()
		checkRanOnce(is, r)
	})
}

// TestWorkOutlastsAStoreThatIsAway guards against running work that is given up while the coordinator can't renew
// its lease and another one takes over.
func TestWorkOutlastsAStoreThatIsAway(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		startLongWork(is, r)
		for _, e := range r.entries {
			e.faulty.SetFaults(down)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, e := range r.entries {
			e.faulty.SetFaults(up)
		}
		checkRanOnce(is, r)
	})
}
