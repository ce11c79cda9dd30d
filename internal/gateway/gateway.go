package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/coordinator"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
)

// Times of the calls that a caller waits for.
const (
	// callTimeout bounds one store call.
	callTimeout = 600 * time.Millisecond
	// retryDelay is the pause before a store call is repeated.
	retryDelay = 60 * time.Millisecond
	// refuseAfter is how long an entry tries to store a job before it refuses it. A caller that is
	// refused early can still be served by another entry.
	refuseAfter = 500 * time.Millisecond
	// giveUpAfter is how long an entry tries to learn the outcome of a write without an answer. A caller that
	// knows sooner that the outcome is open can hand the job in at another entry.
	giveUpAfter = time.Second
	// retryAfter is when a refused caller may come back.
	retryAfter = time.Second
	// answerMargin is kept between the last attempt and the caller's deadline.
	answerMargin = 150 * time.Millisecond
	// askTimeout bounds a question to the coordinator.
	askTimeout = 400 * time.Millisecond
	// negativeAge is how old the view may be for an answer that a queue does not exist.
	negativeAge = 500 * time.Millisecond
)

// Config holds what a Gateway depends on.
type Config struct {
	Store       store.Service
	View        *operatorconfig.View
	Coordinator Coordinator
	Logger      *log.Logger
}

// Answers are those that only the coordinator can give.
type Answers interface {
	// State returns the state of a job; known is false if the coordinator has not learned of it.
	State(ctx context.Context, id string) (state job.State, known bool, err error)
	// Waiting returns the number of jobs of the queue of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
}

// Coordinator is the coordinator, wherever it runs.
type Coordinator interface {
	Answers
	// Notice tells the coordinator of a job or a cancellation that has just been stored. It does not block.
	Notice(key string, value []byte)
}

// Gateway answers callers. It is safe for concurrent use.
type Gateway struct {
	config    Config
	unsettled *unsettled
	outage    *outage
}

// New returns a gateway.
func New(config Config) *Gateway {
	return &Gateway{config: config, unsettled: newUnsettled(), outage: &outage{}}
}

// Ready reports whether the entry knows a configuration.
func (g *Gateway) Ready() bool { return g.config.View.Snapshot().Config != nil }

// Route returns the queue for the host and path. Before it says that there is none, it makes sure that
// its view is current.
func (g *Gateway) Route(ctx context.Context, host, path string) (*operatorconfig.Queue, operatorconfig.Snapshot, error) {
	snapshot := g.config.View.Snapshot()
	if snapshot.Config == nil {
		return nil, snapshot, store.ErrUnavailable
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	if time.Since(g.config.View.Confirmed()) > negativeAge {
		if err := g.confirm(ctx, snapshot); err != nil {
			return nil, snapshot, err
		}
		snapshot = g.config.View.Snapshot()
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	return nil, snapshot, store.ErrNotFound
}

// confirm asks the store for changes of the configuration that the view has not taken in yet.
func (g *Gateway) confirm(ctx context.Context, snapshot operatorconfig.Snapshot) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	key := g.config.View.Conditions(snapshot, false)[0].Key
	changes, err := g.config.Store.Changes(call, key, snapshot.Revision, 0)
	if errors.Is(err, store.ErrCompacted) {
		item, err := g.config.Store.Get(call, key)
		if err != nil {
			return err
		}
		g.config.View.Apply([]store.Event{{KeyValue: item}}, sent)
		return nil
	}
	if err != nil {
		return err
	}
	g.config.View.Apply(changes.Events, sent)
	return nil
}

// State returns the state of a job, or ErrNotFound.
func (g *Gateway) State(ctx context.Context, id string) (job.State, error) {
	ask, cancel := context.WithTimeout(ctx, askTimeout)
	state, known, err := g.config.Coordinator.State(ask, id)
	cancel()
	if err == nil && known {
		return state, nil
	}
	return g.stored(ctx, id)
}

// stored reads the state of a job from its records.
func (g *Gateway) stored(ctx context.Context, id string) (job.State, error) {
	for {
		state, err := g.readStored(ctx, id)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < answerMargin+retryDelay {
			return 0, err
		}
		if !wait.Sleep(ctx, retryDelay) {
			return 0, err
		}
	}
}

// readStored makes one attempt to read the state of a job.
func (g *Gateway) readStored(ctx context.Context, id string) (job.State, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := g.config.Store.Get(call, coordinator.ProgressKey(id))
	if err == nil {
		progress, err := job.DecodeProgress(item.Value)
		if err != nil {
			return 0, err
		}
		return progress.State, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	if _, err := g.config.Store.Get(call, coordinator.JobKey(id)); err != nil {
		return 0, err
	}
	return job.StateQueued, nil
}

// Waiting returns the number of jobs of the queue of which no task has started.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	return g.config.Coordinator.Waiting(ctx, queue)
}
