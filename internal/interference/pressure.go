package interference

import (
	"math"
	"time"
)

// A run that serves requests is modelled as a queue: its tail latency is its base latency, without any load,
// divided by the unused share of a shared resource. Pressure estimates the share that a run uses itself (its
// load) and the share that neighbours of each image use for each busy part of the worker's processors (their
// pressure).
const (
	// priorPressure is the expected pressure of one part of an image without samples, and priorDeviation its
	// standard deviation.
	priorPressure  = 0.05
	priorDeviation = 0.08
	// maxPressure bounds the pressure of one part.
	maxPressure = 0.6
	// DefaultLoad is the expected load of a run without samples, and loadDeviation its standard deviation.
	DefaultLoad   = 0.45
	loadDeviation = 0.15
	minLoad       = 0.02
	maxLoad       = 0.95
	// loadDrift and pressureDrift are the standard deviations by which a load and a pressure change within
	// driftPeriod. The load of a run can change considerably within seconds.
	loadDrift     = 0.1
	pressureDrift = 0.004
	driftPeriod   = 500 * time.Millisecond
	// latencyNoise is the relative standard error of a latency, and minUsageNoise the smallest one of a usage.
	latencyNoise  = 0.1
	minUsageNoise = 0.02
	// maxUsage is the highest usage that is derived from a latency; beyond it a queue grows without bound.
	maxUsage = 0.97
	// minParts is the number of busy parts below which a neighbour is left out of an observation.
	minParts = 0.02
	// defaultBaseLatency is the base latency as a share of the latency target, unless a lower one was observed.
	defaultBaseLatency = 0.2
	// baseLatencyFactor is the ratio of the base latency to the lowest observed latency, as a run always has
	// some load.
	baseLatencyFactor = 0.75
)

// Neighbour is a run that may interfere with others on the worker: its image and the parts that it keeps busy.
type Neighbour struct {
	Image string
	Parts float64
}

// PressureEstimate is a measured pressure of one part.
type PressureEstimate struct {
	// Value is the measured pressure, without the prior.
	Value float64
	// Samples is the weight of the measurements; the prior has the weight of one sample.
	Samples float64
}

// Expected returns the mean of the measured pressure and the prior, weighted by samples.
func (e PressureEstimate) Expected() float64 {
	return (e.Value*e.Samples + priorPressure) / (e.Samples + 1)
}

// deviation returns the standard deviation of the expected pressure.
func (e PressureEstimate) deviation() float64 { return priorDeviation / math.Sqrt(e.Samples+1) }

// PressureModel estimates the loads and pressures on one worker. It is not safe for concurrent use.
type PressureModel struct {
	filter        *filter
	baseLatencies map[string]float64
}

// NewPressureModel returns a model without samples.
func NewPressureModel() *PressureModel {
	return &PressureModel{filter: newFilter(), baseLatencies: map[string]float64{}}
}

func loadVariable(run string) variable    { return variable{run: run} }
func pressureVariable(pair Pair) variable { return variable{pair: pair} }
func (q variable) isLoad() bool           { return q.run != "" }
func square(deviation float64) float64    { return deviation * deviation }

// Usage returns the used share of the resource, from 0 to 1, for a latency as a share of its target.
func (m *PressureModel) Usage(image string, share float64) float64 {
	return min(max(0, 1-m.baseLatency(image)/max(share, math.SmallestNonzeroFloat32)), 1)
}

// baseLatency returns the base latency of an image as a share of its target.
func (m *PressureModel) baseLatency(image string) float64 {
	if baseLatency, ok := m.baseLatencies[image]; ok {
		return min(baseLatency, defaultBaseLatency)
	}
	return defaultBaseLatency
}

// Advance adds the uncertainty by which loads and pressures may have changed in the elapsed time.
func (m *PressureModel) Advance(elapsed time.Duration) {
	periods := float64(elapsed) / float64(driftPeriod)
	for i, q := range m.filter.variables {
		if q.isLoad() {
			m.filter.addDrift(i, periods*square(loadDrift), loadDeviation)
		} else {
			m.filter.addDrift(i, periods*square(pressureDrift), priorDeviation)
		}
	}
}

// Observe updates the estimates with the latency of a run of an image beside neighbours. The latency is a share
// of its target; an invalid one is ignored.
func (m *PressureModel) Observe(run, image string, share float64, neighbours []Neighbour) {
	if share <= 0 || math.IsNaN(share) || math.IsInf(share, 0) {
		return
	}
	if baseLatency := baseLatencyFactor * share; baseLatency < m.baseLatency(image) {
		m.baseLatencies[image] = baseLatency
	}
	terms := m.terms(run, image, neighbours)
	usage, predicted := min(m.Usage(image, share), maxUsage), m.filter.predict(terms)
	if usage == maxUsage && predicted > maxUsage {
		return
	}
	noise := max(minUsageNoise, latencyNoise*(1-usage))
	m.filter.observe(terms, usage-predicted, square(noise))
	m.clampMeans()
}

// terms returns the terms of the usage that a run observes, and adds missing variables to the filter.
func (m *PressureModel) terms(run, image string, neighbours []Neighbour) []term {
	parts := map[string]float64{}
	for _, neighbour := range neighbours {
		parts[neighbour.Image] += neighbour.Parts
	}
	if !m.filter.has(loadVariable(run)) {
		m.filter.add(loadVariable(run), DefaultLoad, loadDeviation)
	}
	terms := []term{{loadVariable(run), 1}}
	for _, neighbour := range neighbours {
		weight := parts[neighbour.Image]
		delete(parts, neighbour.Image)
		if weight < minParts {
			continue
		}
		q := pressureVariable(Pair{image, neighbour.Image})
		if !m.filter.has(q) {
			m.filter.add(q, priorPressure, priorDeviation)
		}
		terms = append(terms, term{q, weight})
	}
	return terms
}

// clampMeans limits all loads and pressures to their valid ranges.
func (m *PressureModel) clampMeans() {
	for i, q := range m.filter.variables {
		if q.isLoad() {
			m.filter.means[i] = min(max(minLoad, m.filter.means[i]), maxLoad)
		} else {
			m.filter.means[i] = min(max(0, m.filter.means[i]), maxPressure)
		}
	}
}

// Load returns the estimated load that a run causes itself, or DefaultLoad for an unknown run.
func (m *PressureModel) Load(run string) float64 {
	if m.filter.has(loadVariable(run)) {
		return m.filter.mean(loadVariable(run))
	}
	return DefaultLoad
}

// RemoveRun removes the load of a run that has ended.
func (m *PressureModel) RemoveRun(run string) { m.filter.remove(loadVariable(run)) }

// Pair returns the estimated pressure of one part of the neighbour's image on runs of the image, or the prior
// for an unknown pair.
func (m *PressureModel) Pair(image, neighbour string) float64 {
	q := pressureVariable(Pair{image, neighbour})
	if !m.filter.has(q) {
		return priorPressure
	}
	return m.filter.mean(q)
}

// Estimate returns the measured pressure of a pair, without the prior; it has no samples for an unknown pair.
func (m *PressureModel) Estimate(pair Pair) PressureEstimate {
	q := pressureVariable(pair)
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

// MergeEstimate replaces the estimate of a pair by one from another source if that has more samples.
func (m *PressureModel) MergeEstimate(pair Pair, estimate PressureEstimate) {
	if estimate.Samples > m.Estimate(pair).Samples {
		m.filter.add(pressureVariable(pair), estimate.Expected(), estimate.deviation())
	}
}
