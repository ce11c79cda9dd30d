package scheduler

import "clementineflow/internal/task"

// latencyScorer avoids adding batch tasks and watches to workers whose services miss or nearly miss
// their latency objective, because such work would soon be throttled or evicted.
type latencyScorer struct{}

// latencyHeadroom is the ratio of latency to objective up to which the score is not reduced.
const latencyHeadroom = 0.7

func (latencyScorer) name() string { return "latency" }

func (latencyScorer) score(c *cycle, t *candidate, n *node) float64 {
	if t.record.Spec.Kind == task.KindService || n.LatencyRatio <= latencyHeadroom {
		return 0
	}
	return -(c.weights.TailLatency + c.weights.Evictions) * min(n.LatencyRatio-latencyHeadroom, 2)
}
