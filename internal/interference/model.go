// Package interference learns from delayed reports how much tasks of one class slow down tasks of another class
// on the same worker. It reads no clock: times are passed in.
package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which the weight of an observation decays to half, as load changes within hours.
	halfLife = 2 * time.Hour
	// priorWeight is the weight of the prior, as a number of observations.
	priorWeight = 4.0
	// priorSlowdown is the expected slowdown of an unobserved pair. It is above 1 to be cautious, but small
	// enough that unknown neighbours do not exclude a worker.
	priorSlowdown = 1.08
	// minRate is the smallest weight of a new observation, so that estimates with many observations still adapt.
	minRate = 0.05
	// maxSlowdown bounds the slowdown of one observation, so that the report of a stalled task does not dominate.
	maxSlowdown = 8.0
	// maxPairs bounds the memory of the model.
	maxPairs = 4096
	// maxWorkers bounds the number of worker factors.
	maxWorkers = 2048
)

// Pair is a class of tasks or an image that is slowed down, and the neighbour's class or image that causes it.
type Pair struct {
	Class     string `json:"class"`
	Neighbour string `json:"neighbour"`
}

// estimate is the logarithm of a slowdown with the decayed number of its observations.
type estimate struct {
	log    float64
	weight float64
	at     time.Time
}

// weightAt returns the decayed number of observations at the time.
func (e *estimate) weightAt(now time.Time) float64 {
	age := now.Sub(e.at)
	if age <= 0 {
		return e.weight
	}
	return e.weight * math.Exp2(-float64(age)/float64(halfLife))
}

// observe corrects the estimate by its part of a prediction error and counts one observation.
func (e *estimate) observe(part float64, now time.Time) {
	weight := e.weightAt(now) + 1
	e.log += part * math.Max(minRate, 1/weight)
	e.weight, e.at = weight, laterTime(e.at, now)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Model estimates the slowdown of pairs of classes and of workers. It is not safe for concurrent use.
type Model struct {
	pairs     map[Pair]*estimate
	workers   map[string]*estimate
	baselines map[string]*baseline
}

// New returns a model without observations.
func New() *Model {
	return &Model{pairs: map[Pair]*estimate{}, workers: map[string]*estimate{}, baselines: map[string]*baseline{}}
}

// Observation is one delayed report about a task or service.
type Observation struct {
	Class  string
	Worker string
	// Neighbours counts the other tasks on the worker by class.
	Neighbours map[string]int
	// Slowdown is the time taken relative to the undisturbed time; 1 means undisturbed.
	Slowdown float64
	At       time.Time
}

// Observe updates the model with an observation. The logarithm of the slowdown is modelled as the sum of the
// contributions of all neighbours and of the worker; the prediction error is divided among them. An observation
// without a positive slowdown is ignored.
func (m *Model) Observe(o Observation) {
	if math.IsNaN(o.Slowdown) || o.Slowdown <= 0 {
		return
	}
	target := math.Log(min(max(o.Slowdown, 1/maxSlowdown), maxSlowdown))
	predicted, norm := 0.0, 1.0
	// A floating-point sum depends on the order of its terms. The order is fixed so that equal observations give
	// equal models.
	classes := slices.Sorted(maps.Keys(o.Neighbours))
	for _, class := range classes {
		count := o.Neighbours[class]
		predicted += float64(count) * m.logSlowdown(Pair{o.Class, class})
		norm += float64(count * count)
	}
	worker := m.worker(o.Worker)
	if worker != nil {
		predicted += worker.log
	}
	step := (target - predicted) / norm
	for _, class := range classes {
		count := o.Neighbours[class]
		if pair := m.pair(Pair{o.Class, class}); pair != nil {
			pair.observe(step*float64(count), o.At)
		}
	}
	if worker != nil {
		worker.observe(step, o.At)
	}
}

func (m *Model) logSlowdown(pair Pair) float64 {
	if known, ok := m.pairs[pair]; ok {
		return known.log
	}
	return 0
}

func (m *Model) pair(pair Pair) *estimate {
	known, ok := m.pairs[pair]
	if !ok && len(m.pairs) < maxPairs {
		known = &estimate{}
		m.pairs[pair] = known
	}
	return known
}

func (m *Model) worker(name string) *estimate {
	known, ok := m.workers[name]
	if !ok && name != "" && len(m.workers) < maxWorkers {
		known = &estimate{}
		m.workers[name] = known
	}
	return known
}

// Expectation is an expected slowdown with the confidence in it.
type Expectation struct {
	// Slowdown is the factor on the time taken, at least 1.
	Slowdown float64
	// Confidence lies between 0 (the prior alone) and 1.
	Confidence float64
}

// Pair returns the expected slowdown of a class beside one task of the neighbour's class.
func (m *Model) Pair(class, neighbour string, now time.Time) Expectation {
	return blend(m.pairs[Pair{class, neighbour}], math.Log(priorSlowdown), now)
}

// Worker returns the slowdown on a worker that is not explained by neighbours.
func (m *Model) Worker(name string, now time.Time) Expectation {
	return blend(m.workers[name], 0, now)
}

// Expected returns the expected slowdown of a class on the worker beside the neighbours.
func (m *Model) Expected(class, worker string, neighbours map[string]int, now time.Time) Expectation {
	total := math.Log(m.Worker(worker, now).Slowdown)
	confidence := 1.0
	for neighbour, count := range neighbours {
		pair := m.Pair(class, neighbour, now)
		total += float64(count) * math.Log(pair.Slowdown)
		confidence = min(confidence, pair.Confidence)
	}
	return Expectation{Slowdown: math.Exp(total), Confidence: confidence}
}

// blend returns the mean of the estimate and the prior, weighted by their numbers of observations.
func blend(known *estimate, prior float64, now time.Time) Expectation {
	if known == nil {
		return Expectation{Slowdown: math.Exp(prior)}
	}
	weight := known.weightAt(now)
	mean := (known.log*weight + prior*priorWeight) / (weight + priorWeight)
	return Expectation{
		Slowdown:   math.Exp(max(mean, 0)),
		Confidence: weight / (weight + priorWeight),
	}
}
