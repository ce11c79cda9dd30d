package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/experiment"
	"clementineflow/internal/settings"
)

// experimentCommand compares the decisions with plain ones in virtual time.
type experimentCommand struct {
	Seeds    int    `default:"5" help:"Number of seeds of each scenario."`
	Scenario string `help:"Scenario to run; all without it." enum:",noisy-waves,wrong-sizes,zone-leaves,failing-worker,cancellations,impossible-jobs" default:""`
	Parts    bool   `default:"true" negatable:"" help:"Also run the product with single parts switched off."`
	Examples string `default:"examples" help:"Directory of the deployments' configurations."`
	Output   string `short:"o" enum:"text,json" default:"text" help:"Output format: text or json."`
}

// experimentGCPercent lets the heap grow to several times its live size between collections.
const experimentGCPercent = 800

// Run runs the suite and prints it.
func (c *experimentCommand) Run() error {
	if c.Seeds < 1 {
		return errors.New("--seeds must be at least 1")
	}
	coast, err := c.document("bc-coast")
	if err != nil {
		return err
	}
	island, err := c.document("mu-island")
	if err != nil {
		return err
	}
	// The live heap is small; collecting it often costs processor time.
	debug.SetGCPercent(experimentGCPercent)
	suite := experiment.RunSuite(experiment.Options{
		Deployments: []experiment.Deployment{experiment.Coastline(coast), experiment.Rampart(island)},
		Scenarios:   c.scenarios(), Seeds: c.Seeds, Parts: c.Parts,
	})
	if count := suite.Overloaded(); count > 0 {
		return errors.Errorf("a worker was above its capacity in %d runs", count)
	}
	if c.Output == "json" {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(suite), "write figures")
	}
	return errors.Wrap(suite.WriteText(os.Stdout), "write figures")
}

// scenarios returns what to run; the zone scenario is compared with noisy waves alone.
func (c *experimentCommand) scenarios() []experiment.Scenario {
	switch scenario := experiment.Scenario(c.Scenario); scenario {
	case "":
		return experiment.Scenarios
	case experiment.ZoneLeaves:
		return []experiment.Scenario{experiment.NoisyWaves, scenario}
	default:
		return []experiment.Scenario{scenario}
	}
}

func (c *experimentCommand) document(region string) (*configuration.Document, error) {
	path := filepath.Join(c.Examples, region, "configuration.yaml")
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	document, err := settings.DecodeConfiguration(path, data)
	return document, errors.Wrap(err, "decode configuration")
}
