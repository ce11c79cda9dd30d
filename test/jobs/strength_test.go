package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/jobworker"
	"clementineflow/internal/standin/kvstore"
)

// Fault settings for a store that is unreachable and for one without faults.
var (
	storeDown = kvstore.Faults{Down: true}
	storeUp   = kvstore.Faults{}
)

// handoverTimeout is the time within which a stronger entry must take over from a weaker one.
const handoverTimeout = 5 * time.Second

// TestStrongerEntryTakesOver guards against a weak entry that stays the coordinator although a stronger one
// is up, and against a handover that restarts running tasks or during which both entries act as coordinator.
func TestStrongerEntryTakesOver(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		strong, weak := r.entries[0], r.entries[1]
		strong.kill()
		time.Sleep(handoverTimeout)
		is.Equal(r.leader(), weak)
		r.work = func(string) jobworker.Work {
			return jobworker.Work{Duration: 2 * handoverTimeout, Need: resource.Quantity{MilliCPU: 1000}}
		}
		is.Equal(r.submit(weak, newSpec("0000000000000001", 6)), gateway.Accepted)
		time.Sleep(time.Second)
		strong.start(1)
		time.Sleep(handoverTimeout)
		is.Equal(r.leader(), strong)
		time.Sleep(handoverTimeout)
		state, err := r.state(weak, "0000000000000001")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
		is.Equal(r.recorder.Starts(), 6) // no task was started twice
	})
}

// TestWeakEntryServesWhileTheStrongOneIsUnusable guards against a weak coordinator that hands over to an
// entry that can't reach the store, which leaves the region without a coordinator.
func TestWeakEntryServesWhileTheStrongOneIsUnusable(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		strong, weak := r.entries[0], r.entries[1]
		strong.kill()
		strong.start(1)
		strong.faulty.SetFaults(storeDown)
		time.Sleep(handoverTimeout)
		is.Equal(r.leader(), weak)
		for range 4 {
			time.Sleep(handoverTimeout)
			is.Equal(r.leader(), weak)
		}
		is.Equal(r.submit(weak, newSpec("0000000000000001", 2)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		is.Equal(r.recorder.Starts(), 2)
	})
}
