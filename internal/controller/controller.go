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
	// proposeTimeout limits the wait for a commit. A group commit takes about 100 ms.
	proposeTimeout = 5 * time.Second
	// eventQueueSize is the number of task events that can be queued. Agents resend dropped events.
	eventQueueSize = 8192
	// usageQueueSize is the number of usage reports that can be queued. Dropped reports are not resent.
	usageQueueSize = 1024
)

// Config holds the dependencies of a Controller.
type Config struct {
	// Entry is the name of this entry.
	Entry  string
	Shards Shards
	Fleet  Fleet
	// Document returns the current configuration, nil if none is loaded yet.
	Document func() *configuration.Document
	// ShardOf returns the id of the shard that stores a task.
	ShardOf func(taskID string) uint16
	// ShardCount is the number of shards in the region.
	ShardCount uint16
	Logger     *log.Logger
	// Seed initializes the random source of the scheduler.
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

	learned   *learnedState
	decisions *decisionLog
	hellos    *helloStore
	sends     *sendTracker
	remoteUse *remoteTeamUse
	released  *releasedResources

	events chan queuedEvent
	usage  chan queuedUsage

	planWake, sendWake, reconcileWake chan struct{}
}

// New returns a controller. It schedules nothing until Run is called.
func New(config Config) *Controller {
	return &Controller{
		entry: config.Entry, shards: config.Shards, fleet: config.Fleet, document: config.Document,
		shardOf: config.ShardOf, shardCount: config.ShardCount, logger: config.Logger,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		learned: newLearnedState(), decisions: newDecisionLog(), hellos: newHelloStore(), sends: newSendTracker(),
		remoteUse: &remoteTeamUse{}, released: newReleasedResources(),
		events: make(chan queuedEvent, eventQueueSize), usage: make(chan queuedUsage, usageQueueSize),
		planWake: make(chan struct{}, 1), sendWake: make(chan struct{}, 1),
		reconcileWake: make(chan struct{}, 1),
	}
}

// Run schedules the tasks of the owned shards until the context ends, and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	loops := pool.New().WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		c.planLoop, c.sendLoop, c.eventLoop, c.reconcileLoop, c.lostLoop, c.serviceLoop,
		c.quotaLoop, c.usageLoop,
	} {
		loops.Go(loop)
	}
	return loops.Wait()
}

// wake notifies a loop without blocking. Notifications that arrive before the loop reads the
// channel are merged.
func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// runPeriodically calls work at each interval and on each notification until the context ends. It
// waits at least minPause after each call.
func runPeriodically(ctx context.Context, interval, minPause time.Duration, notified <-chan struct{}, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-notified:
		}
		work(ctx)
		if !wait.Sleep(ctx, minPause) {
			return nil
		}
	}
}

// propose commits a mutation within proposeTimeout. After a commit it wakes the send and plan loops.
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
