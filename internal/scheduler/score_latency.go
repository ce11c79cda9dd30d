package scheduler

import "clementineflow/internal/task"

// latencyScore avoids adding batch work to workers whose services miss or nearly miss their
// latency objective; such work is soon throttled or evicted.
type latencyScore struct{}

// latencyHeadroom is the part of the objective below which a latency causes no concern.
const latencyHeadroom = 0.7

func (latencyScore) name() string { return "latency" }

func (latencyScore) rate(c *cycle, t *candidate, n *node) float64 {
	if t.record.Spec.Kind == task.KindService || n.LatencyRatio <= latencyHeadroom {
		return 0
	}
	return -(c.weights.TailLatency + c.weights.Evictions) * min(n.LatencyRatio-latencyHeadroom, 2)
}
