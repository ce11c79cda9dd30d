package scheduler

import "clementineflow/internal/task"

// interferenceScorer prefers workers on which the task and its neighbours slow each other down least.
// The slowdown of services has the weight of tail latency, that of other work the weight of throughput.
type interferenceScorer struct{}

func (interferenceScorer) name() string { return "interference" }

func (interferenceScorer) score(c *cycle, t *candidate, n *node) float64 {
	ownSlowdown, serviceSlowdown, otherSlowdown := n.logSlowdown, 0.0, 0.0
	row := c.logSlowdown[t.class]
	for class, count := range n.classCounts {
		if count == 0 {
			continue
		}
		serviceCount := n.serviceClassCounts[class]
		ownSlowdown += float64(count) * row[class]
		added := c.logSlowdown[class][t.class]
		serviceSlowdown += float64(serviceCount) * added
		otherSlowdown += float64(count-serviceCount) * added
	}
	latency, throughput := serviceSlowdown, otherSlowdown
	if t.record.Spec.Kind == task.KindService {
		latency += ownSlowdown
	} else {
		throughput += ownSlowdown
	}
	return -(c.weights.TailLatency*latency + c.weights.Throughput*throughput)
}
