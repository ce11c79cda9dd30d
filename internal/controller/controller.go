package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
	"clementineflow/internal/wait"
)

const (
	// proposeTimeout bounds the wait for a commit; a group commit takes about 100 ms.
	proposeTimeout = 5 * time.Second
	// eventQueue bounds the task events that wait; agents repeat what was dropped.
	eventQueue = 8192
	// usageQueue bounds the usage reports that wait; a dropped report is not repeated.
	usageQueue = 1024
)

// Config holds the dependencies of a Controller.
type Config struct {
	// Entry is the name of this entry.
	Entry  string
	Shards Shards
	Fleet  Fleet
	// Document returns the current configuration, nil if it is not known.
	Document func() *configuration.Document
	// ShardOf returns the shard of a task id.
	ShardOf func(taskID string) uint16
	// ShardCount is the number of shards in the region.
	ShardCount uint16
	Logger     *log.Logger
	// Seed seeds the random source of the scheduler.
	Seed uint64
}

// Controller schedules the tasks of the shards that this entry owns. Its methods are safe for
// concurrent use.
type Controller struct {
	entry      string
	shards     Shards
	fleet      Fleet
	document   func() *configuration.Document
	shardOf    func(string) uint16
	shardCount uint16
	logger     *log.Logger
	random     *rand.Rand // used by the planner only

	knowledge *knowledge
	decisions *decisions
	hellos    *hellos
	sends     *sends
	quota     *quotaView
	released  *released

	events chan queuedEvent
	usage  chan queuedUsage

	planWake, sendWake, reconcileWake chan struct{}
}

// New returns a controller that does nothing before Run.
func New(config Config) *Controller {
	return &Controller{
		entry: config.Entry, shards: config.Shards, fleet: config.Fleet, document: config.Document,
		shardOf: config.ShardOf, shardCount: config.ShardCount, logger: config.Logger,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		knowledge: newKnowledge(), decisions: newDecisions(), hellos: newHellos(), sends: newSends(),
		quota: &quotaView{}, released: newReleased(),
		events: make(chan queuedEvent, eventQueue), usage: make(chan queuedUsage, usageQueue),
		planWake: make(chan struct{}, 1), sendWake: make(chan struct{}, 1),
		reconcileWake: make(chan struct{}, 1),
	}
}

// Run drives the owned shards until the context ends. It returns nil then.
func (c *Controller) Run(ctx context.Context) error {
	duties := pool.New().WithContext(ctx)
	for _, duty := range []func(context.Context) error{
		c.planLoop, c.sendLoop, c.eventLoop, c.reconcileLoop, c.lostLoop, c.serviceLoop,
		c.quotaLoop, c.usageLoop,
	} {
		duties.Go(duty)
	}
	return duties.Wait()
}

// wake notifies a loop without blocking; notifications are coalesced.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// repeat calls work at each interval and each notification until the context ends, with at least
// pause between calls.
func repeat(ctx context.Context, interval, pause time.Duration, woken <-chan struct{}, work func(context.Context)) error {
	timer := time.NewTicker(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-woken:
		}
		work(ctx)
		if !wait.Sleep(ctx, pause) {
			return nil
		}
	}
}

// propose commits a mutation within proposeTimeout and wakes the loops that act on the result.
func (c *Controller) propose(ctx context.Context, shard Shard, mutate func(map[string]*task.Record) error) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := shard.Propose(ctx, mutate)
	if err == nil {
		wake(c.sendWake)
		wake(c.planWake)
	}
	return err
}

func isContextError(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
