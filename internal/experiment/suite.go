package experiment

import (
	"runtime"
	"slices"

	"github.com/sourcegraph/conc/pool"
)

// Options say what a suite runs.
type Options struct {
	Deployments []Deployment
	Scenarios   []Scenario
	Seeds       int
	// Parts adds the variants with one part switched off, under noisy waves, and without ejection with a
	// failing worker.
	Parts bool
}

// Row holds the figures of one variant in one scenario, one per seed.
type Row struct {
	Deployment string
	Scenario   Scenario
	Variant    string
	Seeds      []*Figures
}

// Suite is the result of all runs.
type Suite struct {
	Options Options `json:"-"`
	Rows    []*Row
}

// RunSuite runs every variant on the same inputs, on all processors. Equal options give equal results.
func RunSuite(options Options) *Suite {
	suite := &Suite{Options: options}
	workers := pool.New().WithMaxGoroutines(max(1, runtime.GOMAXPROCS(0)/2))
	for _, deployment := range options.Deployments {
		for _, scenario := range options.Scenarios {
			for _, variant := range options.variants(scenario) {
				row := &Row{deployment.Name, scenario, variant.Name, make([]*Figures, options.Seeds)}
				suite.Rows = append(suite.Rows, row)
				for seed := range options.Seeds {
					workers.Go(func() { row.Seeds[seed] = Run(deployment, scenario, variant, uint64(seed+1)) })
				}
			}
		}
	}
	workers.Wait()
	return suite
}

func (o *Options) variants(scenario Scenario) []Variant {
	variants := slices.Clone(Compared)
	switch {
	case o.Parts && scenario == NoisyWaves:
		variants = append(variants, Parts...)
	case o.Parts && scenario == FailingWorker:
		variants = append(variants, noEjection)
	}
	return variants
}

// row returns the figures of a variant, or nil.
func (s *Suite) row(deployment string, scenario Scenario, variant string) *Row {
	for _, row := range s.Rows {
		if row.Deployment == deployment && row.Scenario == scenario && row.Variant == variant {
			return row
		}
	}
	return nil
}

// Overloaded returns the number of runs in which a worker held more than its capacity or slots.
func (s *Suite) Overloaded() int {
	count := 0
	for _, row := range s.Rows {
		for _, f := range row.Seeds {
			if f.PeakAllocated > 1 || f.PeakSlots > slotsPerWorker {
				count++
			}
		}
	}
	return count
}
