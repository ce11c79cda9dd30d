package scheduler

import (
	"math"

	"clementineflow/internal/resource"
)

const (
	// minObservations is the number of observations required before the expected use is lowered.
	minObservations = 20
	// lowerUseRatio is the ratio of observed to declared use below which the expected use is lowered.
	lowerUseRatio = 0.8
	// lowerUseMargin is the factor by which a lowered expected use exceeds the observed use.
	lowerUseMargin = 1.2
	// peakDecay is the fraction of the difference by which the peak moves towards a lower observation.
	peakDecay = 0.05
	// sumDecay is the fraction of the sums that decays with each observation.
	sumDecay = 0.02
	// maxSizeKeys limits the pairs of team and class in SizeEstimator, and thereby its memory. Further pairs are
	// ignored.
	maxSizeKeys = 4096
)

// sizeKey groups tasks whose declared sizes are expected to be wrong by a similar ratio.
type sizeKey struct{ team, class string }

// sizeRatio holds the observed use relative to the declared size. For processors it is a ratio of
// decaying sums, since the use of tasks on a worker adds up. For memory it is a decaying peak, since
// tasks are killed when they run out of it.
type sizeRatio struct {
	usedMilliCPU, declaredMilliCPU float64
	memoryPeak                     float64
	observations                   int
}

// processorRatio returns the used processors relative to the declared ones.
func (r *sizeRatio) processorRatio() float64 { return r.usedMilliCPU / r.declaredMilliCPU }

// SizeEstimator estimates the use of tasks from their declared size and the observed use of tasks of the same
// team and class. It is not safe for concurrent use.
type SizeEstimator struct{ ratios map[sizeKey]*sizeRatio }

// NewSizeEstimator returns a SizeEstimator without observations.
func NewSizeEstimator() *SizeEstimator { return &SizeEstimator{ratios: map[sizeKey]*sizeRatio{}} }

// Observe records the observed use of one task. It ignores a zero use and a declared size without
// processors or memory.
func (s *SizeEstimator) Observe(team, class string, declared, used resource.Quantity) {
	if declared.MilliCPU <= 0 || declared.MemoryBytes <= 0 || used.IsZero() {
		return
	}
	key := sizeKey{team, class}
	ratio, ok := s.ratios[key]
	if !ok {
		if len(s.ratios) >= maxSizeKeys {
			return
		}
		ratio = &sizeRatio{}
		s.ratios[key] = ratio
	}
	ratio.usedMilliCPU = (1-sumDecay)*ratio.usedMilliCPU + float64(used.MilliCPU)
	ratio.declaredMilliCPU = (1-sumDecay)*ratio.declaredMilliCPU + float64(declared.MilliCPU)
	ratio.memoryPeak = decayedPeak(ratio.memoryPeak, float64(used.MemoryBytes)/float64(declared.MemoryBytes))
	ratio.observations++
}

func decayedPeak(current, observed float64) float64 {
	return math.Max(observed, current-peakDecay*(current-observed))
}

// ExpectedUse returns the expected use of a task with the declared size. It is below the declared size only
// after enough observations of a clearly lower use. A nil SizeEstimator returns the declared size.
func (s *SizeEstimator) ExpectedUse(team, class string, declared resource.Quantity) resource.Quantity {
	if s == nil {
		return declared
	}
	ratio, ok := s.ratios[sizeKey{team, class}]
	if !ok {
		return declared
	}
	steady := ratio.observations >= minObservations
	return resource.Quantity{
		MilliCPU:     correctSize(declared.MilliCPU, ratio.processorRatio(), steady),
		MemoryBytes:  correctSize(declared.MemoryBytes, ratio.memoryPeak, steady),
		Accelerators: declared.Accelerators,
	}
}

func correctSize(declared int64, ratio float64, steady bool) int64 {
	switch {
	case ratio > 1:
		return int64(float64(declared) * ratio)
	case steady && ratio < lowerUseRatio:
		return int64(float64(declared) * min(1, ratio*lowerUseMargin))
	default:
		return declared
	}
}
