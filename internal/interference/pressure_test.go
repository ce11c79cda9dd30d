package interference

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// latencyShare returns the latency of a queue as a share of its target, with a base latency of a fifth.
func latencyShare(usage float64) float64 { return 0.2 / (1 - min(usage, 0.98)) }

// TestPressureTellsImagesApart guards against attributing pressure to a light image because it often runs beside
// a heavy one. Three cores of the heavy image bring the run over its target; those of the light image don't.
func TestPressureTellsImagesApart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	model := NewPressureModel()
	for range 400 {
		heavy, light := 2*float64(random.IntN(3)), 2*float64(random.IntN(3))
		load := 0.3 + 0.3*random.Float64()
		model.Observe("run", "serving", latencyShare(load+0.08*heavy+0.005*light), []Neighbour{
			{Image: "heavy", Parts: heavy}, {Image: "light", Parts: light},
		})
	}
	is.True(model.Pair("serving", "heavy") > 0.05)
	is.True(model.Pair("serving", "light") < 0.03)
	is.True(model.Load("run") > 0.25 && model.Load("run") < 0.65)
}

// TestPressureOfUnknownImages guards against treating an image without samples as harmless, which would assign
// all new fillers to the worker of the same run.
func TestPressureOfUnknownImages(t *testing.T) {
	is := is.New(t)
	model := NewPressureModel()
	is.Equal(model.Pair("serving", "new"), priorPressure)
	model.MergeEstimate(Pair{"serving", "new"}, PressureEstimate{Value: 0.3, Samples: 20})
	is.True(model.Pair("serving", "new") > 0.2)
	model.MergeEstimate(Pair{"serving", "new"}, PressureEstimate{Value: 0, Samples: 3})
	is.True(model.Pair("serving", "new") > 0.2) // fewer samples do not replace more
}
