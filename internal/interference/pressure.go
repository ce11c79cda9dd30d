package interference

import "math"

// A run that serves requests behaves like a queue: its tail latency is its rest latency divided by the
// part of a shared resource that is left. Pressure learns how much of that resource a run takes itself
// and how much each neighbour takes, by image, for each core at work.
const (
	// priorPressure is the expected pressure of one core of an image that was not seen yet, and
	// priorSamples the number of samples that it counts for.
	priorPressure = 0.05
	priorSamples  = 2.0
	// RestLoad is the expected own load of a run that was not seen yet.
	RestLoad = 0.45
	maxLoad  = 0.9
	// maxPressure bounds the pressure of one core.
	maxPressure = 0.6
	// loadRate and minPressureRate are the smallest steps of the two kinds of estimates. The own load
	// swings within seconds; pressure changes more slowly.
	loadRate        = 0.1
	excessRate      = 0.5
	minPressureRate = 0.15
	// restShare is the rest latency as a share of the target, where no lower one was seen.
	restShare = 0.2
	// restFactor turns the lowest latency seen into a rest latency: also at its quietest a run has load.
	restFactor = 0.75
)

// Neighbour is a run that may press others: its image and the cores at work.
type Neighbour struct {
	Image string
	Cores float64
}

// PressureEstimate is a learned pressure of one core with the number of samples behind it.
type PressureEstimate struct {
	Value   float64
	Samples float64
}

// Expected returns the pressure to expect: the learned one, blended with that of unknown images while there
// are few samples.
func (e PressureEstimate) Expected() float64 {
	return (e.Value*e.Samples + priorPressure*priorSamples) / (e.Samples + priorSamples)
}

// Pressure holds what was learned on one or more workers. It is not safe for concurrent use.
type Pressure struct {
	pairs map[Pair]PressureEstimate
	loads map[string]float64
	rests map[string]float64
}

// NewPressure returns a model without samples.
func NewPressure() *Pressure {
	return &Pressure{pairs: map[Pair]PressureEstimate{}, loads: map[string]float64{}, rests: map[string]float64{}}
}

// Usage returns the used part of the resource for a latency, given as a share of its target.
func (m *Pressure) Usage(image string, share float64) float64 {
	return min(max(0, 1-m.rest(image)/max(share, math.SmallestNonzeroFloat32)), 1)
}

// rest returns the rest latency of an image as a share of its target.
func (m *Pressure) rest(image string) float64 {
	if rest, ok := m.rests[image]; ok {
		return min(rest, restShare)
	}
	return restShare
}

// Observe learns from the latency of a run of an image, as a share of its target, beside neighbours.
func (m *Pressure) Observe(run, image string, share float64, neighbours []Neighbour) {
	if share <= 0 || math.IsNaN(share) || math.IsInf(share, 0) {
		return
	}
	if rest := restFactor * share; rest < m.rest(image) {
		m.rests[image] = rest
	}
	load := m.Load(run)
	predicted, norm := load, 1.0
	for _, neighbour := range neighbours {
		predicted += m.Pair(image, neighbour.Image) * neighbour.Cores
		norm += neighbour.Cores * neighbour.Cores
	}
	errorOf := m.Usage(image, share) - min(predicted, 1)
	load = min(max(0, load+loadRate*errorOf), maxLoad)
	// What the neighbours take is never negative, so the own load is at most the usage. It comes down to
	// the usage in steps: at once, it would keep to the lowest point of a load that swings.
	if usage := m.Usage(image, share); load > usage {
		load -= excessRate * (load - usage)
	}
	m.loads[run] = load
	for _, neighbour := range neighbours {
		pair := Pair{image, neighbour.Image}
		known := m.pairs[pair]
		if known.Samples == 0 {
			known.Value = priorPressure
		}
		known.Samples++
		rate := max(minPressureRate, 1/(known.Samples+priorSamples))
		known.Value = min(max(0, known.Value+rate*errorOf*neighbour.Cores/norm), maxPressure)
		m.pairs[pair] = known
	}
}

// Load returns the own load of a run.
func (m *Pressure) Load(run string) float64 {
	if load, ok := m.loads[run]; ok {
		return load
	}
	return RestLoad
}

// Forget drops the load of a run that has ended.
func (m *Pressure) Forget(run string) { delete(m.loads, run) }

// Pair returns the pressure of one core of the neighbour's image on runs of the image.
func (m *Pressure) Pair(image, neighbour string) float64 {
	return m.pairs[Pair{image, neighbour}].Expected()
}

// Estimate returns what was learned of a pair.
func (m *Pressure) Estimate(pair Pair) PressureEstimate { return m.pairs[pair] }

// Adopt takes over an estimate that was learned elsewhere, if more samples are behind it.
func (m *Pressure) Adopt(pair Pair, estimate PressureEstimate) {
	if estimate.Samples > m.pairs[pair].Samples {
		m.pairs[pair] = estimate
	}
}
