package runner

import (
	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

// pressures returns what was learned of the images that share the worker now.
func (p *pacer) pressures(serving []servingRun, fillers []fillerRun) []wire.PressureRow {
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

// adopt takes over what other agents learned of a filler's image.
func (p *pacer) adopt(rows []wire.PressureRow) {
	for _, row := range rows {
		p.model.Adopt(interference.Pair{Class: row.Serving, Neighbour: row.Filler}, interference.PressureEstimate{
			Value: float64(row.Value), Samples: float64(row.Samples),
		})
	}
}
