package scheduler

import "clementineflow/internal/task"

// maxPackedReplicas is the number of service replicas of a class that are packed on one worker. Replicas
// on one worker share its slots and are lost together with it.
const maxPackedReplicas = 2

// balanceScorer prefers workers with high utilisation for service replicas, which packs them on few
// workers. Batch work on a worker without a replica needs no throttling; with replicas on most workers,
// the experiment of docs/policy.md loses a sixth of its batch work. The spread filter still distributes
// replicas over zones and racks.
// For other tasks the score falls with utilisation by the weights of tail latency and evictions, and
// rises with it by the weight of throughput, because packing keeps room for large tasks.
type balanceScorer struct{}

func (balanceScorer) name() string { return "balance" }

func (balanceScorer) score(c *cycle, t *candidate, n *node) float64 {
	used := n.utilisation()
	if t.record.Spec.Kind == task.KindService && n.serviceClassCounts[t.class] < maxPackedReplicas {
		return used
	}
	observed := min(1, max(
		fraction(n.Observed.MilliCPU, n.Capacity.MilliCPU), fraction(n.Observed.MemoryBytes, n.Capacity.MemoryBytes),
	))
	return c.weights.Throughput*used*0.5 - (c.weights.TailLatency+c.weights.Evictions)*max(used, observed)
}
