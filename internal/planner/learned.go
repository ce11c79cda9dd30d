package planner

import (
	"cmp"
	"math"
	"slices"

	"clementineflow/internal/interference"
	"clementineflow/internal/wire"
)

const (
	// MaxLearnedPressures bounds the pairs of images whose pressures are kept beyond a term, those with the most samples.
	MaxLearnedPressures = 400
	// maxLearnedImageBytes bounds the names of their images.
	maxLearnedImageBytes = 256
	// maxLearnedSamples bounds the weight of a kept pressure, in the record and in start orders. An agent that measures the
	// pair outweighs in its own estimate what it has adopted within about as many samples. The combined estimate contains
	// that weight once for each agent that has adopted it.
	maxLearnedSamples = 20
	// minLearnedChange is the change of an expected pressure of one part that is worth a write. It is about the error of
	// an estimate after some seconds beside a filler.
	minLearnedChange = 0.01
	// keptEstimate stands for the agent of kept pressures; no agent has an empty name.
	keptEstimate = ""
)

// LearnedPressures returns the pressures that are worth keeping beyond the term, those with the most samples first.
func (p *Planner) LearnedPressures() []wire.PressureRow {
	var rows []wire.PressureRow
	for pair := range p.pressures {
		if row, ok := p.pressures.row(pair.Class, pair.Neighbour); ok && ValidPressure(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y wire.PressureRow) int {
		return cmp.Or(cmp.Compare(y.Samples, x.Samples), cmp.Compare(x.Serving, y.Serving), cmp.Compare(x.Filler, y.Filler))
	})
	rows = rows[:min(len(rows), MaxLearnedPressures)]
	for i := range rows {
		rows[i].Samples = min(rows[i].Samples, maxLearnedSamples)
	}
	return rows
}

// RestorePressures adds valid pressures that an earlier term has learned to what the agents report.
func (p *Planner) RestorePressures(rows []wire.PressureRow) {
	for _, row := range rows {
		row.Samples = min(row.Samples, maxLearnedSamples)
		p.pressures.update(keptEstimate, row)
	}
	for _, a := range p.workers {
		a.neighbours.stale = true
	}
	p.changes.markAllChanged()
}

// kept reports whether the estimate of a pair contains one that an earlier term has learned.
func (t pressureTable) kept(row wire.PressureRow) bool {
	_, ok := t[interference.Pair{Class: row.Serving, Neighbour: row.Filler}].byAgent[keptEstimate]
	return ok
}

// ValidPressure reports whether a pressure can be kept.
func ValidPressure(row wire.PressureRow) bool {
	finite := !math.IsInf(float64(row.Samples), 0) && row.Samples > 0 && row.Value >= 0 && row.Value <= 1
	named := row.Serving != "" && row.Filler != ""
	return finite && named && max(len(row.Serving), len(row.Filler)) <= maxLearnedImageBytes
}

// PressuresDiffer reports whether an expected pressure in rows differs by minLearnedChange from that in the kept ones.
func PressuresDiffer(rows, kept []wire.PressureRow) bool {
	known := make(map[interference.Pair]float64, len(kept))
	for _, row := range kept {
		known[interference.Pair{Class: row.Serving, Neighbour: row.Filler}] = expectedPressure(row)
	}
	return slices.ContainsFunc(rows, func(row wire.PressureRow) bool {
		former, ok := known[interference.Pair{Class: row.Serving, Neighbour: row.Filler}]
		if !ok {
			former = expectedPressure(wire.PressureRow{})
		}
		return math.Abs(expectedPressure(row)-former) >= minLearnedChange
	})
}

// expectedPressure returns the expected pressure of a row.
func expectedPressure(row wire.PressureRow) float64 {
	return interference.PressureEstimate{Value: float64(row.Value), Samples: float64(row.Samples)}.Expected()
}
