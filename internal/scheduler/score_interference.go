package scheduler

import "clementineflow/internal/task"

// interferenceScore prefers workers on which the task and its neighbours slow each other least.
// Slowdown of services counts by the weight of the tail latency, that of other work by the
// weight of the throughput.
type interferenceScore struct{}

func (interferenceScore) name() string { return "interference" }

func (interferenceScore) rate(c *cycle, t *candidate, n *node) float64 {
	own, harmServices, harmOthers := n.factor, 0.0, 0.0
	row := c.slowdown[t.class]
	for class, count := range n.classes {
		if count == 0 {
			continue
		}
		services := n.serviceClasses[class]
		own += float64(count) * row[class]
		harm := c.slowdown[class][t.class]
		harmServices += float64(services) * harm
		harmOthers += float64(count-services) * harm
	}
	latency, throughput := harmServices, harmOthers
	if t.record.Spec.Kind == task.KindService {
		latency += own
	} else {
		throughput += own
	}
	return -(c.weights.TailLatency*latency + c.weights.Throughput*throughput)
}
