package planner

import (
	"cmp"
	"slices"
	"strings"

	"clementineflow/internal/wire"
)

const (
	// maxKnowledgeRows bounds the rows of each kind in the stored knowledge.
	maxKnowledgeRows = 2048
	// maxRestoredSamples bounds the samples of a restored pressure, so that agents soon outweigh it and an estimate
	// that passes through several terms does not gain weight each time.
	maxRestoredSamples = 20
	// restoredAgent stands for the agent of restored pressures; no agent has an empty name.
	restoredAgent = ""
)

// Knowledge is what a planner has learned about queues and images. It is stored, so that a new coordinator does not
// have to learn it again while it starts everything that waits.
type Knowledge struct {
	Durations []QueueDuration    `cbor:"1,keyasint"`
	Pressures []wire.PressureRow `cbor:"2,keyasint"`
}

// QueueDuration is the mean duration of the runs of a queue.
type QueueDuration struct {
	_       struct{} `cbor:",toarray"`
	Queue   string
	LogMean float64
	Runs    int
}

// EncodeKnowledge returns the stored encoding of a planner's knowledge.
func EncodeKnowledge(k *Knowledge) ([]byte, error) { return wire.Marshal(k) }

// DecodeKnowledge decodes stored knowledge.
func DecodeKnowledge(data []byte) (*Knowledge, error) { return wire.Unmarshal[Knowledge](data) }

// Knowledge returns a copy of what the planner has learned, in a fixed order.
func (p *Planner) Knowledge() *Knowledge {
	k := &Knowledge{Durations: p.durations.rows(), Pressures: p.pressures.rows()}
	k.Durations = k.Durations[:min(len(k.Durations), maxKnowledgeRows)]
	k.Pressures = k.Pressures[:min(len(k.Pressures), maxKnowledgeRows)]
	return k
}

// RestoreKnowledge adds what an earlier planner has learned. Queues of which this planner has observed runs keep its
// own mean.
func (p *Planner) RestoreKnowledge(k *Knowledge) {
	for _, row := range k.Durations {
		if p.durations[row.Queue] == nil && row.Runs > 0 {
			p.durations[row.Queue] = &durationEstimate{logMean: row.LogMean, runs: row.Runs}
		}
	}
	for _, row := range k.Pressures {
		row.Samples = min(row.Samples, maxRestoredSamples)
		p.pressures.update(restoredAgent, row)
	}
	for _, a := range p.workers {
		a.neighbours.stale = true
	}
	p.log("knowledge restored", "queues", len(k.Durations), "pressures", len(k.Pressures))
}

// rows returns the mean durations by queue.
func (t durationTable) rows() []QueueDuration {
	var rows []QueueDuration
	for queue, estimate := range t {
		rows = append(rows, QueueDuration{Queue: queue, LogMean: estimate.logMean, Runs: estimate.runs})
	}
	slices.SortFunc(rows, func(x, y QueueDuration) int { return strings.Compare(x.Queue, y.Queue) })
	return rows
}

// rows returns the combined estimates with samples, those with the most samples first.
func (t pressureTable) rows() []wire.PressureRow {
	var rows []wire.PressureRow
	for pair := range t {
		if row, ok := t.row(pair.Class, pair.Neighbour); ok {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y wire.PressureRow) int {
		return cmp.Or(
			cmp.Compare(y.Samples, x.Samples),
			strings.Compare(x.Serving, y.Serving),
			strings.Compare(x.Filler, y.Filler),
		)
	})
	return rows
}
