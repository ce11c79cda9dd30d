package scheduler

// balanceScore prefers little used workers by the weights of tail latency and evictions, and
// well-used ones (packing, which keeps room for large tasks) by the weight of the throughput.
type balanceScore struct{}

func (balanceScore) name() string { return "balance" }

func (balanceScore) rate(c *cycle, _ *candidate, n *node) float64 {
	used := n.utilisation()
	observed := min(1, max(
		share(n.Observed.MilliCPU, n.Capacity.MilliCPU), share(n.Observed.MemoryBytes, n.Capacity.MemoryBytes),
	))
	return c.weights.Throughput*used*0.5 - (c.weights.TailLatency+c.weights.Evictions)*max(used, observed)
}
