package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/gateway"
	"clementineflow/internal/job"
	"clementineflow/internal/standin/kvstore"
)

// storeCuts are the ways in which an entry's own path to the store fails.
var storeCuts = map[string]kvstore.Faults{
	"refusing":  {Down: true},
	"silent":    {DelayMillis: 60_000},
	"no answer": {LoseAnswerPercent: 100},
}

// TestHandInWithoutOwnPathToTheStore guards against an entry that refuses work, states and cancellations
// because its own path to the store is cut while another entry reaches it.
func TestHandInWithoutOwnPathToTheStore(t *testing.T) {
	for name, faults := range storeCuts {
		t.Run(name, func(t *testing.T) {
			inRegion(t, func(is *is.I, r *region) {
				e := r.other()
				e.faulty.SetFaults(faults)
				time.Sleep(2500 * time.Millisecond)
				began := time.Now()
				is.Equal(r.submit(e, spec("0000000000000021", 2, 1)), gateway.Accepted)
				is.True(time.Since(began) < 500*time.Millisecond)
				time.Sleep(2 * time.Second)
				state, err := r.state(e, "0000000000000021")
				is.NoErr(err)
				is.Equal(state, job.StateDone)
				is.Equal(r.submit(e, spec("0000000000000022", 2, 2, 2)), gateway.Accepted)
				time.Sleep(100 * time.Millisecond)
				is.Equal(r.cancel(e, "0000000000000022"), gateway.Accepted)
				e.faulty.SetFaults(kvstore.Faults{})
				time.Sleep(2 * time.Second)
				is.Equal(r.submit(e, spec("0000000000000023", 1)), gateway.Accepted)
			})
		})
	}
}

// TestCoordinatorWithoutOwnPathToTheStore guards against a change of the coordinator, and seconds without
// starts, when only the coordinator's own path to the store is cut.
func TestCoordinatorWithoutOwnPathToTheStore(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		leader := r.leader()
		leader.faulty.SetFaults(kvstore.Faults{Down: true})
		for i := range 8 {
			time.Sleep(time.Second)
			id := "000000000000003" + string(rune('0'+i))
			is.Equal(r.submit(r.other(), spec(id, 1)), gateway.Accepted)
		}
		time.Sleep(2 * time.Second)
		is.Equal(r.leader().name, leader.name)
		is.Equal(r.ledger.Starts(), 8)
	})
}

// TestStoreAwayForAllEntries guards against entries that ask each other in circles while none of them
// reaches the store, and against a return that they do not notice.
func TestStoreAwayForAllEntries(t *testing.T) {
	inRegion(t, func(is *is.I, r *region) {
		for _, e := range r.entries {
			e.faulty.SetFaults(kvstore.Faults{Down: true})
		}
		time.Sleep(time.Second)
		began := time.Now()
		is.Equal(r.submit(r.entries[0], spec("0000000000000041", 1)), gateway.Refused)
		is.True(time.Since(began) < time.Second)
		// The outage is known now; the next caller is not held.
		began = time.Now()
		is.Equal(r.submit(r.entries[0], spec("0000000000000043", 1)), gateway.Refused)
		is.True(time.Since(began) < 50*time.Millisecond)
		for _, e := range r.entries {
			e.faulty.SetFaults(kvstore.Faults{})
		}
		time.Sleep(5 * time.Second)
		is.Equal(r.submit(r.entries[0], spec("0000000000000042", 1)), gateway.Accepted)
		time.Sleep(2 * time.Second)
		is.Equal(r.ledger.Starts(), 1)
	})
}
