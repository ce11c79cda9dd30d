package process

import (
	"testing"
	"time"

	operatorv1 "clementineflow/api/operator/v1"
)

// TestWaveBeyondCapacity guards against a worker that is given more than it can hold when a wave of
// jobs is larger than the fleet and the entry that places them is killed.
func TestWaveBeyondCapacity(t *testing.T) {
	c := startCluster(t)
	// A worker has 16 cores, so it holds three of these jobs and the fleet twelve.
	ids := c.submitMany(45, "wave", func(name string) *operatorv1.TaskSpec {
		spec := job(name, 2*time.Second)
		spec.Size = &operatorv1.Quantity{MilliCpu: 5000, MemoryBytes: 1 << 30}
		return spec
	})
	c.entries[0].kill()
	c.waitFinished(ids)
	c.checkRanOnce(ids)
	c.checkNoOverlap()
	for _, w := range c.workers {
		if state, _ := c.truth(w); state.PeakSize.MilliCPU < 15000 {
			t.Errorf("worker %s was never full (%v), so the limit was not put to the test", w.name, state.PeakSize)
		}
	}
}
