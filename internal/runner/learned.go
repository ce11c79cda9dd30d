package runner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

// pressureRows returns the pressure estimates with samples for each pair of a serving and a filler image
// that share the worker now.
func (p *pacer) pressureRows(serving []servingRun, fillers []fillerRun) []wire.PressureRow {
	var rows []wire.PressureRow
	seen := map[interference.Pair]bool{}
	for _, s := range serving {
		for _, filler := range fillers {
			pair := interference.Pair{Class: s.image, Neighbour: filler.image}
			estimate := p.model.Estimate(pair)
			if estimate.Samples == 0 || seen[pair] {
				continue
			}
			seen[pair] = true
			rows = append(rows, wire.PressureRow{
				Serving: pair.Class, Filler: pair.Neighbour,
				Value: float32(estimate.Value), Samples: float32(estimate.Samples),
			})
		}
	}
	return rows
}

// adoptPressures merges the pressure estimates of other agents into the model.
func (p *pacer) adoptPressures(rows []wire.PressureRow) {
	for _, row := range rows {
		p.model.MergeEstimate(interference.Pair{Class: row.Serving, Neighbour: row.Filler}, interference.PressureEstimate{
			Value: float64(row.Value), Samples: float64(row.Samples),
		})
	}
}
