// Package fleet runs many agents in one process, each with an in-memory worker runtime. It measures the
// cost of entries, links and the store for more workers than there are machines to test with. The agents
// are those of production, without targets.
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

// agentsPerRack is the number of workers in a rack, as in current deployments.
const agentsPerRack = 3

// ErrConfig reports a configuration without agents or without zones.
var ErrConfig = errors.New("fleet: invalid configuration")

// Config describes the agents of a fleet.
type Config struct {
	Agents int
	// Entries are the link addresses that the agents dial first.
	Entries []string
	Region  string
	// Zones are the zones to which the agents are assigned in turn.
	Zones []string
	// Capacity is the capacity of each worker.
	Capacity resource.Quantity
	Logger   *log.Logger
}

// Fleet is a set of agents with their runtimes and a record of their task starts.
type Fleet struct {
	agents []*agent.Agent
	starts *StartRecorder
}

// New returns a fleet whose agents are started by Run. It returns ErrConfig if the configuration is
// invalid.
func New(config Config) (*Fleet, error) {
	if config.Agents < 1 || len(config.Zones) == 0 {
		return nil, errors.Wrap(ErrConfig, "at least one agent and one zone are required")
	}
	f := &Fleet{starts: newStartRecorder()}
	for index := range config.Agents {
		created, err := newAgent(config, index, f.starts)
		if err != nil {
			return nil, errors.Wrap(err, "fleet")
		}
		f.agents = append(f.agents, created)
	}
	return f, nil
}

// newAgent returns the agent with the given index. The index is part of the name, so that no two agents
// share a name. The runtime's Run is not needed: the runtime updates
// the state of its tasks on every call, and the agent lists them every second.
func newAgent(config Config, index int, starts *StartRecorder) (*agent.Agent, error) {
	zone := config.Zones[index%len(config.Zones)]
	rack := index / len(config.Zones) / agentsPerRack
	return agent.New(agent.Config{
		Name:    fmt.Sprintf("%s-%04d", zone, index),
		Region:  config.Region,
		Zone:    zone,
		Rack:    fmt.Sprintf("%s-r%d", zone, rack),
		Entries: config.Entries,
		Dialer:  link.NewDialer(nil),
		Runtime: recordingRuntime{
			Runtime: worker.NewRuntime(worker.RuntimeConfig{Capacity: config.Capacity}),
			starts:  starts,
		},
		Logger: config.Logger,
	})
}

// Starts returns the recorder of the task starts of all agents.
func (f *Fleet) Starts() *StartRecorder { return f.starts }

// Run runs the agents until the context ends or one of them fails.
func (f *Fleet) Run(ctx context.Context) error {
	group := pool.New().WithErrors().WithContext(ctx).WithCancelOnError()
	for _, member := range f.agents {
		group.Go(member.Run)
	}
	return group.Wait()
}
