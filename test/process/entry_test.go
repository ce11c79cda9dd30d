package process

import (
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/caller"
)

// TestKilledEntryLosesNoWork guards against tasks of a killed entry's shards that nobody goes on with,
// and against requests that another entry loses or runs again.
func TestKilledEntryLosesNoWork(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(40, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 6*time.Second) })
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	time.Sleep(time.Second)
	killed := c.entries[0]
	killed.kill()
	more := make([]string, 0, 20)
	for i := range 20 {
		more = append(more, c.submit(c.entries[1+i%2], job("late-"+string(rune('a'+i)), time.Second)))
	}
	c.waitFinished(append(ids, more...))
	requireOnly(requests, requests.finish(), "another entry was killed", func(r loadResult) bool {
		return told(r) || (r.entry == killed && r.Outcome == caller.OutcomeTransport)
	})
	c.checkRanOnce(append(ids, more...))
	c.checkNoOverlap()
}

// TestFrozenEntryCommitsNothing guards against an entry that, resumed after its shards were claimed,
// goes on as their owner, and against stale Starts.
func TestFrozenEntryCommitsNothing(t *testing.T) {
	c := startCluster(t)
	ids := c.submitMany(30, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 4*time.Second) })
	requests := startLoad(c, c.entries[1:], loadConfig{nonIdempotent: true})
	frozen := c.entries[0]
	frozen.freeze()
	during := make([]string, 0, 10)
	for i := range 10 {
		during = append(during, c.submit(c.entries[1+i%2], job("during-"+string(rune('a'+i)), 12*time.Second)))
	}
	time.Sleep(11 * time.Second)
	frozen.resume()
	ids = append(ids, during...)
	for i := range 10 {
		ids = append(ids, c.submit(frozen, job("after-"+string(rune('a'+i)), time.Second)))
	}
	c.waitFinished(ids)
	c.waitState(frozen, ids, operatorv1.TaskState_TASK_STATE_FINISHED)
	requireOnly(requests, requests.finish(), "another entry was frozen", told)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
}
