package interference

import (
	"math"
	"time"
)

// A run that serves requests behaves like a queue: its tail latency is its rest latency divided by the
// part of a shared resource that is left. Pressure learns how much of that resource a run takes itself
// and how much each neighbour takes, by image, for each part of the worker's processors at work.
const (
	// priorPressure is the expected pressure of one part of an image that was not seen yet, and
	// priorDeviation how far off that may be.
	priorPressure  = 0.05
	priorDeviation = 0.08
	// maxPressure bounds the pressure of one part.
	maxPressure = 0.6
	// RestLoad is the expected own load of a run that was not seen yet, and loadDeviation how far off that
	// may be.
	RestLoad      = 0.45
	loadDeviation = 0.15
	minLoad       = 0.02
	maxLoad       = 0.95
	// loadDrift and pressureDrift are the standard deviations by which a load and a pressure change within
	// driftPeriod. The load of a run swings within seconds.
	loadDrift     = 0.1
	pressureDrift = 0.004
	driftPeriod   = 500 * time.Millisecond
	// figureNoise is the relative error of a latency, and minUsageNoise the smallest error of a usage.
	figureNoise   = 0.1
	minUsageNoise = 0.02
	// maxUsage is the usage that the highest latencies stand for; beyond it a queue grows without bound.
	maxUsage = 0.97
	// minParts is the work below which a neighbour tells nothing.
	minParts = 0.02
	// restShare is the rest latency as a share of the target, where no lower one was seen.
	restShare = 0.2
	// restFactor turns the lowest latency seen into a rest latency: also at its quietest a run has load.
	restFactor = 0.75
)

// Neighbour is a run that may press others: its image and the parts of the worker at work.
type Neighbour struct {
	Image string
	Parts float64
}

// PressureEstimate is what was measured of the pressure of one part.
type PressureEstimate struct {
	// Value is the measured pressure, without what was expected before.
	Value float64
	// Samples is the weight of the measurements; one sample weighs as much as the prior expectation.
	Samples float64
}

// Expected returns the pressure to expect: the measured one, blended with that of unknown images while there
// are few samples.
func (e PressureEstimate) Expected() float64 {
	return (e.Value*e.Samples + priorPressure) / (e.Samples + 1)
}

// deviation returns how far off the expected pressure may be.
func (e PressureEstimate) deviation() float64 { return priorDeviation / math.Sqrt(e.Samples+1) }

// Pressure holds what was learned on one worker. It is not safe for concurrent use.
type Pressure struct {
	filter *filter
	rests  map[string]float64
}

// NewPressure returns a model without samples.
func NewPressure() *Pressure {
	return &Pressure{filter: newFilter(), rests: map[string]float64{}}
}

func loadOf(run string) quantity       { return quantity{run: run} }
func pressureOf(pair Pair) quantity    { return quantity{pair: pair} }
func (q quantity) isLoad() bool        { return q.run != "" }
func square(deviation float64) float64 { return deviation * deviation }

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

// Advance takes in that time has passed, in which loads and pressures may have changed.
func (m *Pressure) Advance(elapsed time.Duration) {
	periods := float64(elapsed) / float64(driftPeriod)
	for i, q := range m.filter.names {
		if q.isLoad() {
			m.filter.drift(i, periods*square(loadDrift), loadDeviation)
		} else {
			m.filter.drift(i, periods*square(pressureDrift), priorDeviation)
		}
	}
}

// Observe learns from the latency of a run of an image, as a share of its target, beside neighbours.
func (m *Pressure) Observe(run, image string, share float64, neighbours []Neighbour) {
	if share <= 0 || math.IsNaN(share) || math.IsInf(share, 0) {
		return
	}
	if rest := restFactor * share; rest < m.rest(image) {
		m.rests[image] = rest
	}
	terms := m.terms(run, image, neighbours)
	usage, predicted := min(m.Usage(image, share), maxUsage), m.filter.predict(terms)
	if usage == maxUsage && predicted > maxUsage {
		return
	}
	noise := max(minUsageNoise, figureNoise*(1-usage))
	m.filter.observe(terms, usage-predicted, square(noise))
	m.bound()
}

// terms returns the parts of the usage that a run sees, and makes them known.
func (m *Pressure) terms(run, image string, neighbours []Neighbour) []term {
	parts := map[string]float64{}
	for _, neighbour := range neighbours {
		parts[neighbour.Image] += neighbour.Parts
	}
	if !m.filter.has(loadOf(run)) {
		m.filter.add(loadOf(run), RestLoad, loadDeviation)
	}
	terms := []term{{loadOf(run), 1}}
	for _, neighbour := range neighbours {
		weight := parts[neighbour.Image]
		delete(parts, neighbour.Image)
		if weight < minParts {
			continue
		}
		q := pressureOf(Pair{image, neighbour.Image})
		if !m.filter.has(q) {
			m.filter.add(q, priorPressure, priorDeviation)
		}
		terms = append(terms, term{q, weight})
	}
	return terms
}

// bound keeps all quantities within what they can be.
func (m *Pressure) bound() {
	for i, q := range m.filter.names {
		if q.isLoad() {
			m.filter.means[i] = min(max(minLoad, m.filter.means[i]), maxLoad)
		} else {
			m.filter.means[i] = min(max(0, m.filter.means[i]), maxPressure)
		}
	}
}

// Load returns the own load of a run.
func (m *Pressure) Load(run string) float64 {
	if m.filter.has(loadOf(run)) {
		return m.filter.mean(loadOf(run))
	}
	return RestLoad
}

// Forget drops the load of a run that has ended.
func (m *Pressure) Forget(run string) { m.filter.remove(loadOf(run)) }

// Pair returns the pressure of one part of the neighbour's image on runs of the image.
func (m *Pressure) Pair(image, neighbour string) float64 {
	q := pressureOf(Pair{image, neighbour})
	if !m.filter.has(q) {
		return priorPressure
	}
	return m.filter.mean(q)
}

// Estimate returns what was measured of a pair.
func (m *Pressure) Estimate(pair Pair) PressureEstimate {
	q := pressureOf(pair)
	if !m.filter.has(q) {
		return PressureEstimate{}
	}
	samples := square(priorDeviation)/max(square(m.filter.deviation(q)), math.SmallestNonzeroFloat32) - 1
	if samples <= 0 {
		return PressureEstimate{}
	}
	value := (m.filter.mean(q)*(samples+1) - priorPressure) / samples
	return PressureEstimate{Value: max(0, value), Samples: samples}
}

// Adopt takes over an estimate that was learned elsewhere, if more samples are behind it.
func (m *Pressure) Adopt(pair Pair, estimate PressureEstimate) {
	if estimate.Samples > m.Estimate(pair).Samples {
		m.filter.add(pressureOf(pair), estimate.Expected(), estimate.deviation())
	}
}
