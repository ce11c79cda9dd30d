package interference

import (
	"cmp"
	"slices"
	"time"
)

// PairEstimate is one learned pair in a Snapshot.
type PairEstimate struct {
	Pair   Pair      `json:"pair"`
	Log    float64   `json:"log"`
	Weight float64   `json:"weight"`
	At     time.Time `json:"at"`
}

// WorkerEstimate is one learned worker factor in a Snapshot.
type WorkerEstimate struct {
	Worker string    `json:"worker"`
	Log    float64   `json:"log"`
	Weight float64   `json:"weight"`
	At     time.Time `json:"at"`
}

// Snapshot is the serialisable content of a Model, in a fixed order. It has no baselines, which are only valid
// for running tasks.
type Snapshot struct {
	Pairs   []PairEstimate   `json:"pairs"`
	Workers []WorkerEstimate `json:"workers"`
}

// Snapshot returns a copy of the estimates.
func (m *Model) Snapshot() Snapshot {
	var snapshot Snapshot
	for pair, known := range m.pairs {
		snapshot.Pairs = append(snapshot.Pairs, PairEstimate{pair, known.log, known.weight, known.at})
	}
	for name, known := range m.workers {
		snapshot.Workers = append(snapshot.Workers, WorkerEstimate{name, known.log, known.weight, known.at})
	}
	slices.SortFunc(snapshot.Pairs, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Pair.Class, b.Pair.Class), cmp.Compare(a.Pair.Neighbour, b.Pair.Neighbour))
	})
	slices.SortFunc(snapshot.Workers, func(a, b WorkerEstimate) int { return cmp.Compare(a.Worker, b.Worker) })
	return snapshot
}

// FromSnapshot returns a model with the content of a snapshot.
func FromSnapshot(snapshot Snapshot) *Model {
	model := New()
	for _, pair := range snapshot.Pairs {
		model.pairs[pair.Pair] = &estimate{pair.Log, pair.Weight, pair.At}
	}
	for _, worker := range snapshot.Workers {
		model.workers[worker.Worker] = &estimate{worker.Log, worker.Weight, worker.At}
	}
	return model
}
