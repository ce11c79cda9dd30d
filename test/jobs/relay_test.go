package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/standin/kvstore"
)

// storeFaults maps subtest names to the faults of an entry's direct connection to the store.
var storeFaults = map[string]kvstore.Faults{
	"refusing":  {Down: true},
	"silent":    {DelayMillis: 60_000},
	"no answer": {LoseAnswerPercent: 100},
}

// TestHandInWithoutOwnPathToTheStore guards against an entry that refuses submissions, state queries and
// cancellations because its direct connection to the store is cut while another entry can reach the store.
func TestHandInWithoutOwnPathToTheStore(t *testing.T) {
	for name, faults := range storeFaults {
		t.Run(name, func(t *testing.T) {
			runInRegion(t, func(is *is.I, r *region) {
				e := r.nonLeader()
				e.faulty.SetFaults(faults)
				time.Sleep(2500 * time.Millisecond)
				startedAt := time.Now()
				is.Equal(r.submit(e, newSpec("0000000000000021", 2, 1)), gateway.Accepted)
				is.True(time.Since(startedAt) < 500*time.Millisecond)
				time.Sleep(2 * time.Second)
				state, err := r.state(e, "0000000000000021")
				is.NoErr(err)
				is.Equal(state, job.StateDone)
				is.Equal(r.submit(e, newSpec("0000000000000022", 2, 2, 2)), gateway.Accepted)
				time.Sleep(100 * time.Millisecond)
				is.Equal(r.cancel(e, "0000000000000022"), gateway.Accepted)
				e.faulty.SetFaults(kvstore.Faults{})
				time.Sleep(2 * time.Second)
				is.Equal(r.submit(e, newSpec("0000000000000023", 1)), gateway.Accepted)
			})
		})
	}
}

// TestCoordinatorWithoutOwnPathToTheStore guards against a change of the coordinator, and seconds without
// starts, when only the coordinator's direct connection to the store is cut.
func TestCoordinatorWithoutOwnPathToTheStore(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		leader := r.leader()
		leader.faulty.SetFaults(kvstore.Faults{Down: true})
		for i := range 8 {
			time.Sleep(time.Second)
			id := "000000000000003" + string(rune('0'+i))
			is.Equal(r.submit(r.nonLeader(), newSpec(id, 1)), gateway.Accepted)
		}
		time.Sleep(2 * time.Second)
		is.Equal(r.leader().name, leader.name)
		is.Equal(r.recorder.Starts(), 8)
	})
}

// TestStoreAwayForAllEntries guards against entries that relay calls to each other in a loop while none of
// them can reach the store, and against entries that don't detect that the store is available again.
func TestStoreAwayForAllEntries(t *testing.T) {
	runInRegion(t, func(is *is.I, r *region) {
		for _, e := range r.entries {
			e.faulty.SetFaults(kvstore.Faults{Down: true})
		}
		time.Sleep(time.Second)
		startedAt := time.Now()
		is.Equal(r.submit(r.entries[0], newSpec("0000000000000041", 1)), gateway.Refused)
		is.True(time.Since(startedAt) < time.Second)
		// The outage has been detected, so the next call fails at once.
		startedAt = time.Now()
		is.Equal(r.submit(r.entries[0], newSpec("0000000000000043", 1)), gateway.Refused)
		is.True(time.Since(startedAt) < 50*time.Millisecond)
		for _, e := range r.entries {
			e.faulty.SetFaults(kvstore.Faults{})
		}
		time.Sleep(5 * time.Second)
		is.Equal(r.submit(r.entries[0], newSpec("0000000000000042", 1)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		is.Equal(r.recorder.Starts(), 1)
	})
}
