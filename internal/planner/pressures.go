package planner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

const (
	// usageLimit is the used share of the shared resource up to which fillers are placed beside a run with a latency
	// target. Their agents let them work up to a higher share, which leaves room for loads that rise.
	usageLimit = 0.76
)

// pressureTable combines the pressure estimates of all agents: the pressure of a filler's image on runs of
// another image with a latency target.
type pressureTable map[interference.Pair]*pairPressure

// pairPressure combines the estimates of all agents for one pair of images.
type pairPressure struct {
	byAgent map[string]wire.PressureRow
	// sum is the sum of the values weighted by their samples; samples is the sum of the samples.
	sum     float64
	samples float64
}

// update replaces the estimate of one agent for a pair of images.
func (t pressureTable) update(agent string, row wire.PressureRow) {
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

// add adds a row to the sums if sign is 1, or subtracts it if sign is -1.
func (p *pairPressure) add(row wire.PressureRow, sign float64) {
	p.sum += sign * float64(row.Value) * float64(row.Samples)
	p.samples += sign * float64(row.Samples)
}

// row returns the combined estimate of a pair, or false if no agent has reported samples.
func (t pressureTable) row(serving, filler string) (wire.PressureRow, bool) {
	known := t[interference.Pair{Class: serving, Neighbour: filler}]
	if known == nil || known.samples <= 0 {
		return wire.PressureRow{}, false
	}
	return wire.PressureRow{
		Serving: serving, Filler: filler, Value: float32(known.sum / known.samples), Samples: float32(known.samples),
	}, true
}

// expected returns the expected pressure of a filler that uses one part of a worker, as defined by
// interference.Parts.
func (t pressureTable) expected(serving, filler string) float64 {
	row, _ := t.row(serving, filler)
	return expectedPressure(row)
}
