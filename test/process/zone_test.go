package process

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
)

// TestZoneOutBehindPartitionedEntry guards against starts in a zone out of service that entries cut off
// from the store and from the entry that accepted the change still ask for, at an agent that hears from
// no other entry and keeps its lease by their majority, and at one that restarts with empty memory.
func TestZoneOutBehindPartitionedEntry(t *testing.T) {
	c := startCluster(t)
	isolated, connected := c.entries[:2], c.entries[2]
	// A steady flow of short jobs shows that tasks still start in the other zone.
	stopFlow := c.startFlow(connected)
	// What the first entry sends to one worker is held up, so that it sends its Starts again after the
	// change; the lease of the worker is kept by the other one.
	behind := c.worker("surrey-2")
	isolated[0].linkRelay.silence(func(dialler string, way direction) bool { return dialler == behind.name && way == toDialler })
	pinned := c.submitAtOnce(connected, 24, "pinned", func(name string) *operatorv1.TaskSpec {
		spec := job(name, time.Second)
		spec.Zones = []string{zoneSurrey}
		return spec
	})
	time.Sleep(500 * time.Millisecond)
	c.isolate(isolated, behind, true)
	victim := c.worker("surrey-1")
	victim.agent.kill()
	accepted := c.setZone(connected, zoneSurrey, true)
	victim.agent.start(t)
	time.Sleep(time.Until(accepted.Add(zoneLimit + 500*time.Millisecond)))
	c.isolate(isolated, behind, false)
	time.Sleep(8 * time.Second)
	c.checkNoStartInZone(zoneSurrey, accepted)
	if started := c.startsAfter(zoneBurnaby, accepted.Add(zoneLimit)); started == 0 {
		t.Error("no task started in the zone in service, so the rule was not put to the test")
	}
	for _, e := range c.entries {
		e.storeRelay.silence(nil)
		e.linkRelay.silence(nil)
	}
	c.waitRevision(c.revision(connected))
	back := c.setZone(isolated[1], zoneSurrey, false)
	ids := append(stopFlow(), pinned...)
	c.waitFinished(ids)
	if started := c.startsAfter(zoneSurrey, back); started == 0 {
		t.Error("no task started in the zone after its return")
	}
	c.checkFinishedOnceExcept(ids, behind)
	c.checkNoOverlap()
}

// startFlow submits a short job every 100 ms until the returned function is called, which returns the
// ids of all of them.
func (c *cluster) startFlow(e *entryNode) (stop func() []string) {
	done, submitted := make(chan struct{}), make(chan []string)
	go func() {
		var ids []string
		defer func() { submitted <- ids }()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				ids = append(ids, c.trySubmit(e, job(fmt.Sprintf("flow-%d", i), time.Second)))
			}
		}
	}()
	return func() []string {
		close(done)
		return <-submitted
	}
}

// submitAtOnce submits jobs in parallel.
func (c *cluster) submitAtOnce(e *entryNode, count int, prefix string, spec func(name string) *operatorv1.TaskSpec) []string {
	ids := make([]string, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { ids[i] = c.trySubmit(e, spec(fmt.Sprintf("%s-%d", prefix, i))) })
	}
	group.Wait()
	return ids
}

// checkFinishedOnceExcept fails unless each task finished, and only once apart from the given worker. An
// idempotent task that finishes on a worker which is cut off runs once more elsewhere when the worker is
// lost, because nobody can know of its end.
func (c *cluster) checkFinishedOnceExcept(ids []string, except *workerNode) {
	c.t.Helper()
	executions := c.executions()
	for _, id := range ids {
		total, elsewhere := 0, 0
		for _, e := range executions[id] {
			if e.Ending != "finished" {
				continue
			}
			total++
			if e.worker != except {
				elsewhere++
			}
		}
		if total == 0 || elsewhere > 1 {
			c.t.Errorf("task %s finished %d times, %d of them on connected workers: %s", id, total, elsewhere, describe(executions[id]))
		}
	}
}

// isolate cuts entries off from the store and from the other entries, and a worker from those other
// entries. With held, what the first isolated entry sends to that worker is held up as well.
func (c *cluster) isolate(isolated []*entryNode, behind *workerNode, held bool) {
	isIsolated := func(name string) bool {
		return slices.ContainsFunc(isolated, func(e *entryNode) bool { return e.name == name })
	}
	for _, e := range c.entries {
		if isIsolated(e.name) {
			e.storeRelay.silence(func(string, direction) bool { return true })
		}
		e.linkRelay.silence(func(dialler string, way direction) bool {
			switch {
			case strings.HasPrefix(dialler, "entry-"):
				return isIsolated(dialler) != isIsolated(e.name)
			case dialler != behind.name:
				return false
			default:
				return !isIsolated(e.name) || (held && e == isolated[0] && way == toDialler)
			}
		})
	}
}

// startsAfter counts the starts in a zone after a time.
func (c *cluster) startsAfter(zone string, at time.Time) int {
	c.t.Helper()
	count := 0
	for _, list := range c.executions() {
		for _, e := range list {
			if e.worker.zone == zone && e.StartedAt.After(at) {
				count++
			}
		}
	}
	return count
}

// waitRevision waits until every entry has the revision or a higher one.
func (c *cluster) waitRevision(revision uint64) {
	c.t.Helper()
	for _, e := range c.entries {
		c.eventually(fmt.Sprintf("%s has revision %d", e.name, revision), func() error {
			if have := c.configuration(e).GetRevision(); have < revision {
				return fmt.Errorf("revision %d", have)
			}
			return nil
		})
	}
}

// TestZoneLeavesAndReturns guards against tasks of a leaving zone that are lost, doubled or lose their
// progress, and against a zone that does not return.
func TestZoneLeavesAndReturns(t *testing.T) {
	c := startCluster(t)
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	ids := c.submitMany(16, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 12*time.Second) })
	c.waitRunning(ids)
	accepted := c.setZone(c.entries[0], zoneSurrey, true)
	c.waitFinished(ids)
	c.checkNoStartInZone(zoneSurrey, accepted)
	c.setZone(c.entries[1], zoneSurrey, false)
	requireOnly(requests, requests.finish(), "a zone left", told)
	c.checkFinishedOnce(ids)
	c.checkResumed(ids)
	c.checkNoOverlap()
}

// checkResumed fails if an execution began with less work done than the checkpoint of the one before.
func (c *cluster) checkResumed(ids []string) {
	c.t.Helper()
	executions, moved := c.executions(), 0
	for _, id := range ids {
		list := executions[id]
		for i := 1; i < len(list); i++ {
			moved++
			if list[i-1].Ending == "evicted" && list[i].DoneMillisAtStart != list[i-1].DoneMillis {
				c.t.Errorf("task %s was evicted after %d ms of work and resumed at %d ms", id, list[i-1].DoneMillis, list[i].DoneMillisAtStart)
			}
		}
	}
	if moved == 0 {
		c.t.Error("no task moved, so the rule was not put to the test")
	}
}
