package planner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

const (
	// aimedUsage is the used part of the shared resource up to which a run keeps its latency target.
	aimedUsage = 0.76
	// milliCores is the number of thousandths in a core.
	milliCores = 1000
)

// pressureTable joins what all agents learned of how fillers press runs with a latency target.
type pressureTable map[interference.Pair]map[string]wire.PressureRow

// note takes in what one agent learned of a pair of images.
func (t pressureTable) note(agent string, row wire.PressureRow) {
	pair := interference.Pair{Class: row.Serving, Neighbour: row.Filler}
	if t[pair] == nil {
		t[pair] = map[string]wire.PressureRow{}
	}
	t[pair][agent] = row
}

// row returns what all agents learned of a pair together, and false if none has.
func (t pressureTable) row(serving, filler string) (wire.PressureRow, bool) {
	var sum, samples float64
	for _, row := range t[interference.Pair{Class: serving, Neighbour: filler}] {
		sum += float64(row.Value) * float64(row.Samples)
		samples += float64(row.Samples)
	}
	if samples == 0 {
		return wire.PressureRow{}, false
	}
	return wire.PressureRow{
		Serving: serving, Filler: filler, Value: float32(sum / samples), Samples: float32(samples),
	}, true
}

// expected returns the expected pressure of one core.
func (t pressureTable) expected(serving, filler string) float64 {
	row, _ := t.row(serving, filler)
	return interference.PressureEstimate{Value: float64(row.Value), Samples: float64(row.Samples)}.Expected()
}
