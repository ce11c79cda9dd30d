package planner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

const (
	// aimedUsage is the used part of the shared resource up to which a run keeps its latency target.
	aimedUsage = 0.76
)

// pressureTable joins what all agents learned of how fillers press runs with a latency target.
type pressureTable map[interference.Pair]*pairPressure

// pairPressure is what all agents learned of one pair of images.
type pairPressure struct {
	byAgent map[string]wire.PressureRow
	// sum is the sum of the values weighted by their samples, and samples the sum of the samples.
	sum     float64
	samples float64
}

// note takes in what one agent learned of a pair of images.
func (t pressureTable) note(agent string, row wire.PressureRow) {
	pair := interference.Pair{Class: row.Serving, Neighbour: row.Filler}
	known := t[pair]
	if known == nil {
		known = &pairPressure{byAgent: map[string]wire.PressureRow{}}
		t[pair] = known
	}
	former := known.byAgent[agent]
	known.byAgent[agent] = row
	known.add(former, -1)
	known.add(row, 1)
}

// add takes a row into the sums; sign is 1, or -1 to take it out.
func (p *pairPressure) add(row wire.PressureRow, sign float64) {
	p.sum += sign * float64(row.Value) * float64(row.Samples)
	p.samples += sign * float64(row.Samples)
}

// row returns what all agents learned of a pair together, and false if none has.
func (t pressureTable) row(serving, filler string) (wire.PressureRow, bool) {
	known := t[interference.Pair{Class: serving, Neighbour: filler}]
	if known == nil || known.samples <= 0 {
		return wire.PressureRow{}, false
	}
	return wire.PressureRow{
		Serving: serving, Filler: filler, Value: float32(known.sum / known.samples), Samples: float32(known.samples),
	}, true
}

// expected returns the expected pressure of one part of a worker.
func (t pressureTable) expected(serving, filler string) float64 {
	row, _ := t.row(serving, filler)
	return interference.PressureEstimate{Value: float64(row.Value), Samples: float64(row.Samples)}.Expected()
}
