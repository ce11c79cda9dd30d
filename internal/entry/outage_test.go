package entry

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/configuration"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/task"
)

// TestChangeForgottenInOutage guards against a task start in a zone out of service: an entry accepts
// the change, crashes before it forwards it, restarts while the store is down and relearns the old
// revision from its peers, so that all entries acknowledge the old revision.
func TestChangeForgottenInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 2, 1, io.Discard)
		defer c.close()
		time.Sleep(10*time.Second + 250*time.Millisecond) // heartbeats are sent 200 ms after full seconds
		crashing, frozen := c.members[2], c.vms[0]
		// The agent is paused after a heartbeat for less than its lease and longer than its permit.
		frozen.process.pause(true)
		resumed := time.After(5450 * time.Millisecond)
		// These tasks are assigned to the worker, whose agent receives the Starts after its pause.
		for i := range 30 {
			s := spec(task.KindBatch, fmt.Sprintf("t%d", i), 100, `{"run_ms":500}`)
			s.Zones = []string{frozen.zone}
			for _, m := range c.members[:2] {
				// An entry that does not own the shard refuses.
				c.group.Go(func() { _, _ = m.entry.controller.Submit(t.Context(), s.Name, s) })
			}
		}
		time.Sleep(200 * time.Millisecond)
		assigned := 0
		for _, m := range c.members[:2] {
			for _, owned := range m.entry.manager.Owned() {
				for _, record := range owned.Snapshot().Tasks {
					if record.State == task.StateAssigned && record.Worker == frozen.name {
						assigned++
					}
				}
			}
		}
		is.True(assigned > 0) // otherwise no start waits and the test shows nothing
		for _, m := range c.members[:2] {
			m.store.SetFaults(kvstore.Faults{Down: true})
		}
		silent := cutPaths(c, fault{}, slices.Concat(directions("e3", "e1", 2), directions("e3", "e2", 2), directions("e3", "w2", 2), directions("e3", "w1", 2)))
		silent.begin()
		_, err := crashing.entry.follower.Change(t.Context(), "out", "operator", "", configuration.SetZoneService(frozen.zone, true, ""))
		is.NoErr(err)
		accepted := time.Now()
		c.stopEntry(crashing)
		crashing.store.SetFaults(kvstore.Faults{Down: true})
		c.startEntry(crashing)
		silent.end()
		<-resumed
		frozen.process.pause(false)
		time.Sleep(30 * time.Second)
		for _, executions := range c.runs() {
			for _, r := range executions {
				if r.StartedAt.After(accepted.Add(zoneBound)) {
					t.Errorf("zone out at %s, but %v", accepted.UTC().Format("04:05.000"), r)
				}
			}
		}
	})
}
