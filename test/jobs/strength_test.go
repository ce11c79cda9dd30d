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

// A store that can not be reached, and one that can.
var (
	down = kvstore.Faults{Down: true}
	up   = kvstore.Faults{}
)

// handOverTime is within what time a stronger entry takes over from a weak one.
const handOverTime = 5 * time.Second

// TestStrongerEntryTakesOver guards against a weak entry that stays the coordinator although a stronger one
// is up, and against a hand-over that starts running work again or that both sides act in.
func TestStrongerEntryTakesOver(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		strong, weak := r.entries[0], r.entries[1]
		strong.kill()
		time.Sleep(handOverTime)
		is.Equal(r.leader(), weak)
		r.work = func(string) jobworker.Work {
			return jobworker.Work{Duration: 2 * handOverTime, Need: resource.Quantity{MilliCPU: 1000}}
		}
		is.Equal(r.submit(weak, spec("0000000000000001", 6)), gateway.Accepted)
		time.Sleep(time.Second)
		strong.start(1)
		time.Sleep(handOverTime)
		is.Equal(r.leader(), strong)
		time.Sleep(handOverTime)
		state, err := r.state(weak, "0000000000000001")
		is.NoErr(err)
		is.Equal(state, job.StateDone)
		is.Equal(r.ledger.Starts(), 6) // none was started twice
	})
}

// TestWeakEntryServesWhileTheStrongOneIsUnusable guards against a weak coordinator that hands over to an
// entry without a path to the store, and then nobody leads.
func TestWeakEntryServesWhileTheStrongOneIsUnusable(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		strong, weak := r.entries[0], r.entries[1]
		strong.kill()
		strong.start(1)
		strong.faulty.SetFaults(down)
		time.Sleep(handOverTime)
		is.Equal(r.leader(), weak)
		for range 4 {
			time.Sleep(handOverTime)
			is.Equal(r.leader(), weak)
		}
		is.Equal(r.submit(weak, spec("0000000000000001", 2)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		is.Equal(r.ledger.Starts(), 2)
	})
}
