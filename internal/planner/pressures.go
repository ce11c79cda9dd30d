package planner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

const (
	// priorPressure is the expected pressure of one core of an image that was not seen yet, and
	// priorSamples the number of samples that it counts for.
	priorPressure = 0.05
	priorSamples  = 2
	// aimedUsage is the used part of the shared resource up to which a run keeps its latency target.
	aimedUsage = 0.76
	// restLoad is the own load of a run with a latency target that was not reported yet.
	restLoad = 0.45
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
	samples := float64(row.Samples)
	return (float64(row.Value)*samples + priorPressure*priorSamples) / (samples + priorSamples)
}
