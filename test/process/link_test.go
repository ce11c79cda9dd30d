package process

import (
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/standin/caller"
	"clementineflow/internal/standin/worker"
)

// TestLinkSilentToAgent guards against requests that hang, run twice or get a false outcome when an
// open link stops to carry messages from entry to agent.
func TestLinkSilentToAgent(t *testing.T) { testSilentLink(t, toDialler) }

// TestLinkSilentToEntry guards against the same when the link stops to carry messages from agent to
// entry, so that requests run and their answers do not return.
func TestLinkSilentToEntry(t *testing.T) { testSilentLink(t, toServer) }

func testSilentLink(t *testing.T, silent direction) {
	c := startCluster(t)
	ids := c.submitMany(8, "plan", func(name string) *operatorv1.TaskSpec { return job(name, 15*time.Second) })
	c.waitRunning(ids)
	entry := c.entries[1]
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true})
	// Only connections that are open now stay silent; new ones work, so the agents redial. The slow
	// requests still run when the entry asks for their outcome, the fast ones have ended.
	for _, serviceMillis := range []int64{4500, 100} {
		for _, w := range c.workers {
			c.put(w.control, worker.PathSettings, worker.TargetSettings{ServiceMillis: serviceMillis})
		}
		time.Sleep(2 * time.Second)
		entry.linkRelay.silenceOpen(silent)
		time.Sleep(5 * time.Second)
	}
	healed := time.Now()
	c.eventually("requests are answered on the new links", func() error {
		if requests.answeredSince(healed) < 20 {
			return errNotAnswered
		}
		return nil
	})
	results := requests.finish()
	requireOnly(requests, results, "links were silent", func(r loadResult) bool {
		return told(r) || r.Outcome == caller.OutcomeUnknown
	})
	for _, r := range results {
		if r.Outcome == caller.OutcomeUnknown {
			t.Errorf("request %s is unknown although its agent and its target worked: %.200s", r.RequestID, r.Body)
		}
	}
	c.waitFinished(ids)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
}
