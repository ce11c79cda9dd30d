// Package fleet runs many agents in one process, each over a worker runtime in memory, to measure what
// entries, links and the store cost at sizes for which there is no machine. The agents are the real
// ones; they have no targets.
package fleet

import (
	"context"
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/agent"
	"clementineflow/internal/link"
	"clementineflow/internal/resource"
	"clementineflow/internal/standin/worker"
)

// agentsPerRack is the number of workers in a rack, as in today's deployments.
const agentsPerRack = 3

// ErrConfig reports a fleet that cannot be run.
var ErrConfig = errors.New("fleet: invalid configuration")

// Config describes the agents.
type Config struct {
	Agents int
	// Entries are the link addresses that the agents dial first.
	Entries []string
	Region  string
	// Zones hold the agents in turn.
	Zones []string
	// Capacity is the size of each worker.
	Capacity resource.Quantity
	Logger   *log.Logger
}

// Fleet is a number of agents with their runtimes.
type Fleet struct {
	agents []*agent.Agent
	starts *Starts
}

// New returns agents that do nothing before Run, or ErrConfig.
func New(config Config) (*Fleet, error) {
	if config.Agents < 1 || len(config.Zones) == 0 {
		return nil, errors.Wrap(ErrConfig, "at least one agent and one zone are required")
	}
	f := &Fleet{starts: newStarts()}
	for index := range config.Agents {
		created, err := newAgent(config, index, f.starts)
		if err != nil {
			return nil, errors.Wrap(err, "fleet")
		}
		f.agents = append(f.agents, created)
	}
	return f, nil
}

// newAgent returns the agent with the index. Its runtime needs no Run: a runtime brings its tasks up to
// date on every call, and the agent lists them every second.
func newAgent(config Config, index int, starts *Starts) (*agent.Agent, error) {
	zone := config.Zones[index%len(config.Zones)]
	rack := index / len(config.Zones) / agentsPerRack
	return agent.New(agent.Config{
		Name:    fmt.Sprintf("%s-%04d", zone, index),
		Region:  config.Region,
		Zone:    zone,
		Rack:    fmt.Sprintf("%s-r%d", zone, rack),
		Entries: config.Entries,
		Dialer:  link.NewDialer(nil),
		Runtime: observedRuntime{
			Runtime: worker.NewRuntime(worker.RuntimeConfig{Capacity: config.Capacity}),
			starts:  starts,
		},
		Logger: config.Logger,
	})
}

// Starts returns the record of the task starts.
func (f *Fleet) Starts() *Starts { return f.starts }

// Run runs the agents until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	for _, each := range f.agents {
		group.Go(each.Run)
	}
	return group.Wait()
}
