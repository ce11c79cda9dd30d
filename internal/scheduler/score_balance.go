package scheduler

import "clementineflow/internal/task"

// maxPackedReplicas is how many replicas of a class are packed on a worker. They share its slots,
// and more of them would be lost with it.
const maxPackedReplicas = 2

// balanceScore prefers well-used workers for service replicas. A worker without a replica can hold
// batch work that needs no throttling; with replicas on most workers the experiment of
// docs/policy.md loses a sixth of its batch work. Zones and racks are still spread by the filter.
// For other tasks it prefers little used workers by the weights of tail latency and evictions, and
// well-used ones (packing, which keeps room for large tasks) by the weight of the throughput.
type balanceScore struct{}

func (balanceScore) name() string { return "balance" }

func (balanceScore) rate(c *cycle, t *candidate, n *node) float64 {
	used := n.utilisation()
	if t.record.Spec.Kind == task.KindService && n.serviceClasses[t.class] < maxPackedReplicas {
		return used
	}
	observed := min(1, max(
		share(n.Observed.MilliCPU, n.Capacity.MilliCPU), share(n.Observed.MemoryBytes, n.Capacity.MemoryBytes),
	))
	return c.weights.Throughput*used*0.5 - (c.weights.TailLatency+c.weights.Evictions)*max(used, observed)
}
