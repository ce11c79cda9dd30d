package agent

import (
	"testing"

	"github.com/matryer/is"

	"clementineflow/internal/resource"
)

// TestLimits guards against settings that raise a worker above what its runtime offers, or that an
// operator sets without effect.
func TestLimits(t *testing.T) {
	is := is.New(t)
	offered := resource.Quantity{MilliCPU: 16000, MemoryBytes: 60 << 30, Accelerators: 2}
	is.Equal(Limits{}.capacity(offered), offered)
	is.Equal(Limits{Size: resource.Quantity{MilliCPU: 99000}}.capacity(offered), offered)
	lower := Limits{Size: resource.Quantity{MilliCPU: 8000, Accelerators: 1}}.capacity(offered)
	is.Equal(lower, resource.Quantity{MilliCPU: 8000, MemoryBytes: 60 << 30, Accelerators: 1})
	is.Equal(bounded(8, 4), 4)
	is.Equal(bounded(8, 0), 8)
}
