package scheduler

import (
	"math"

	"clementineflow/internal/resource"
)

const (
	// steadyObservations is the number of observations before a lower use is believed.
	steadyObservations = 20
	// steadyRatio is the use relative to the declared size below which it counts as lower.
	steadyRatio = 0.8
	// loweredMargin is kept above a steadily lower use.
	loweredMargin = 1.2
	// peakDecay is the part by which the peak approaches a lower observation.
	peakDecay = 0.05
	// sumDecay is the part of the sums that one observation replaces.
	sumDecay = 0.02
	// maxSizeKeys bounds the memory of Sizes.
	maxSizeKeys = 4096
)

// sizeKey groups tasks that are expected to be mis-declared alike.
type sizeKey struct{ team, class string }

// sizeRatio holds decaying sums of used and declared processors, whose use adds up on a worker, and
// a decaying peak of the memory relative to the declared size, since too little of it ends tasks.
type sizeRatio struct {
	usedMilliCPU, declaredMilliCPU float64
	memory                         float64
	observations                   int
}

// processors returns the used processors relative to the declared ones.
func (r *sizeRatio) processors() float64 { return r.usedMilliCPU / r.declaredMilliCPU }

// Sizes corrects declared sizes by the observed use per team and class. It is not safe for
// concurrent use.
type Sizes struct{ ratios map[sizeKey]*sizeRatio }

// NewSizes returns an empty Sizes.
func NewSizes() *Sizes { return &Sizes{ratios: map[sizeKey]*sizeRatio{}} }

// Observe learns from the observed use of one task.
func (s *Sizes) Observe(team, class string, declared, used resource.Quantity) {
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
	ratio.memory = peak(ratio.memory, float64(used.MemoryBytes)/float64(declared.MemoryBytes))
	ratio.observations++
}

func peak(current, observed float64) float64 {
	return math.Max(observed, current-peakDecay*(current-observed))
}

// Correct returns the expected use of a task with the declared size. It is below the declared size
// only if the use was steadily lower.
func (s *Sizes) Correct(team, class string, declared resource.Quantity) resource.Quantity {
	if s == nil {
		return declared
	}
	ratio, ok := s.ratios[sizeKey{team, class}]
	if !ok {
		return declared
	}
	steady := ratio.observations >= steadyObservations
	return resource.Quantity{
		MilliCPU:     corrected(declared.MilliCPU, ratio.processors(), steady),
		MemoryBytes:  corrected(declared.MemoryBytes, ratio.memory, steady),
		Accelerators: declared.Accelerators,
	}
}

func corrected(declared int64, ratio float64, steady bool) int64 {
	switch {
	case ratio > 1:
		return int64(float64(declared) * ratio)
	case steady && ratio < steadyRatio:
		return int64(float64(declared) * min(1, ratio*loweredMargin))
	default:
		return declared
	}
}
