package agent

import (
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/resource"
)

// TestLimits guards against limits that raise the capacity above what the runtime offers, and against
// limits without effect.
func TestLimits(t *testing.T) {
	is := is.New(t)
	offered := resource.Quantity{MilliCPU: 16000, MemoryBytes: 60 << 30, Accelerators: 2}
	is.Equal(Limits{}.usableCapacity(offered), offered)
	is.Equal(Limits{Size: resource.Quantity{MilliCPU: 99000}}.usableCapacity(offered), offered)
	lower := Limits{Size: resource.Quantity{MilliCPU: 8000, Accelerators: 1}}.usableCapacity(offered)
	is.Equal(lower, resource.Quantity{MilliCPU: 8000, MemoryBytes: 60 << 30, Accelerators: 1})
	is.Equal(limitedBy(8, 4), 4)
	is.Equal(limitedBy(8, 0), 8)
}
