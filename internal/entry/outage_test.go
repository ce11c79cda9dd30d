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

// TestChangeForgottenInOutage guards against a task start in a zone out of service. An entry accepts
// the change that takes the zone out, crashes before it forwards the change and restarts while the store
// is down. It then gets the old revision from its peers, so all entries acknowledge the old revision.
func TestChangeForgottenInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3, 2, 1, io.Discard)
		defer c.close()
		time.Sleep(10*time.Second + 250*time.Millisecond) // heartbeats are sent 200 ms after full seconds
		crashingEntry, pausedVM := c.members[2], c.vms[0]
		// The agent is paused after a heartbeat for less than its lease but longer than its start permit.
		pausedVM.process.setPaused(true)
		resumed := time.After(5450 * time.Millisecond)
		// These tasks are assigned to the worker, whose agent receives the start messages after its pause.
		for i := range 30 {
			s := newSpec(task.KindBatch, fmt.Sprintf("t%d", i), 100, `{"run_ms":500}`)
			s.Zones = []string{pausedVM.zone}
			for _, m := range c.members[:2] {
				// An entry that does not own the shard returns an error.
				c.group.Go(func() { _, _ = m.entry.controller.Submit(t.Context(), s.Name, s) })
			}
		}
		time.Sleep(200 * time.Millisecond)
		assigned := 0
		for _, m := range c.members[:2] {
			for _, owned := range m.entry.manager.Owned() {
				for _, record := range owned.Snapshot().Tasks {
					if record.State == task.StateAssigned && record.Worker == pausedVM.name {
						assigned++
					}
				}
			}
		}
		is.True(assigned > 0) // without a pending start the test checks nothing
		for _, m := range c.members[:2] {
			m.store.SetFaults(kvstore.Faults{Down: true})
		}
		partition := cutPaths(c, fault{}, slices.Concat(directions("e3", "e1", 2), directions("e3", "e2", 2), directions("e3", "w2", 2), directions("e3", "w1", 2)))
		partition.begin()
		_, err := crashingEntry.entry.follower.Change(t.Context(), "out", "operator", "", configuration.SetZoneService(pausedVM.zone, true, ""))
		is.NoErr(err)
		accepted := time.Now()
		c.stopEntry(crashingEntry)
		crashingEntry.store.SetFaults(kvstore.Faults{Down: true})
		c.startEntry(crashingEntry)
		partition.end()
		<-resumed
		pausedVM.process.setPaused(false)
		time.Sleep(30 * time.Second)
		for _, executions := range c.runs() {
			for _, r := range executions {
				if r.StartedAt.After(accepted.Add(zoneStartLimit)) {
					t.Errorf("zone out of service since %s, but %v", accepted.UTC().Format("04:05.000"), r)
				}
			}
		}
	})
}
