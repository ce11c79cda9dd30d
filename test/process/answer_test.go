package process

import (
	"testing"
	"time"

	"clementineflow/internal/standin/worker"
)

// TestTruncatedAndLateAnswers guards against a caller that gets a part of an answer, or an answer that
// arrived late for another request, when targets break connections and answer around the deadline.
func TestTruncatedAndLateAnswers(t *testing.T) {
	c := startCluster(t)
	const answerBytes = 20 << 10
	for i, settings := range []worker.TargetSettings{
		{ServiceMillis: 10, AnswerBytes: answerBytes, TruncateAnswers: true},
		{ServiceMillis: 10, AnswerBytes: answerBytes, BreakAfterRun: true},
		{ServiceMillis: 290, AnswerBytes: answerBytes},
		{ServiceMillis: 10, AnswerBytes: answerBytes},
	} {
		c.put(c.workers[i].control, worker.PathSettings, settings)
	}
	requests := startLoad(c, c.entries, loadConfig{nonIdempotent: true, timeout: 300 * time.Millisecond})
	time.Sleep(8 * time.Second)
	results := requests.finish()
	requireOnly(requests, results, "targets broke connections", unknownOrTold)
	unknown := 0
	for _, r := range results {
		if !told(r) {
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no answer was lost, so the rule was not put to the test")
	}
}
