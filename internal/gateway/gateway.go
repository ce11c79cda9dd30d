package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/backlog"
	"clementineflow/internal/coordinator"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
	"clementineflow/internal/telemetry"
	"clementineflow/internal/wait"
)

// Timing of a caller's requests.
const (
	// callTimeout bounds one store call.
	callTimeout = 600 * time.Millisecond
	// retryDelay is the delay before a store call is retried.
	retryDelay = 60 * time.Millisecond
	// refuseAfter is how long an entry tries to store a job before it refuses it. An early refusal leaves the
	// caller time to try another entry.
	refuseAfter = 500 * time.Millisecond
	// resolveTimeout is how long an entry tries to determine the outcome of a write that got no reply. An early
	// Unknown reply leaves the caller time to submit the job at another entry.
	resolveTimeout = time.Second
	// retryAfter is the delay after which a refused caller should retry.
	retryAfter = time.Second
	// replyMargin is the time reserved between the last attempt and the caller's deadline.
	replyMargin = 150 * time.Millisecond
	// queryTimeout bounds a query to the coordinator.
	queryTimeout = 400 * time.Millisecond
	// maxNegativeAge is the maximum age of the view for a reply that a queue does not exist.
	maxNegativeAge = 500 * time.Millisecond
	// maxRefreshWait is how long such a reply waits for a newer view. A request that is answered by a much newer view than it
	// met on arrival shows its caller a configuration that requests sent after it don't meet yet.
	maxRefreshWait = 200 * time.Millisecond
)

// Config holds what a Gateway depends on.
type Config struct {
	Store       store.Service
	View        *operatorconfig.View
	Coordinator Coordinator
	// Admission bounds what may be stored. It may be nil.
	Admission *backlog.Admission
	// StoreRates bounds the calls to the store that callers cause, shared by the number of entries that Entries returns.
	// Without either there is no bound.
	StoreRates StoreRates
	Entries    func() int
	// Monitor also observes the calls of other components, if it is not nil.
	Monitor *StoreMonitor
	Logger  *log.Logger
}

// Queries are the queries that only the coordinator can answer.
type Queries interface {
	// State returns the state of a job; known is false if the coordinator has not loaded the job.
	State(ctx context.Context, id string) (state job.State, known bool, err error)
	// Waiting returns the number of jobs in the queue with no started task.
	Waiting(ctx context.Context, queue string) (int, error)
}

// Coordinator gives access to the coordinator, in this process or in another entry.
type Coordinator interface {
	Queries
	// NotifyStored notifies the coordinator of a job or a cancellation that has just been stored. It does not block.
	// Delivery is not guaranteed; the coordinator also watches the store.
	NotifyStored(key string, value []byte)
}

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	config    Config
	refusals  *telemetry.RefusalLogger
	calls     *callBudget
	unsettled *unsettled
	outage    *outage
	reads     sharedReads
	// goroutines read the store; each ends within probePeriod and a call.
	goroutines conc.WaitGroup
}

// New returns a gateway without known outages or open writes.
func New(config Config) *Gateway {
	if config.Monitor == nil {
		config.Monitor = NewStoreMonitor(config.Logger)
	}
	config.Store = store.Observe(config.Store, "", config.Monitor)
	g := &Gateway{
		config: config, refusals: telemetry.NewRefusalLogger(config.Logger),
		calls: newCallBudget(config.StoreRates, config.Entries), unsettled: newUnsettled(), outage: &outage{},
	}
	confirm := g.confirmSuspicion
	config.Monitor.confirm.Store(&confirm)
	return g
}

// Ready reports whether the entry has received a configuration.
func (g *Gateway) Ready() bool { return g.config.View.Snapshot().Config != nil }

// Route returns the queue for the host and path and the snapshot it was found in. Before it returns ErrNotFound,
// it refreshes a view older than maxNegativeAge. It returns ErrUnavailable before the first configuration, if the refresh
// takes longer than maxRefreshWait, and if callers have caused too many calls to the store.
func (g *Gateway) Route(ctx context.Context, host, path string) (*operatorconfig.Queue, operatorconfig.Snapshot, error) {
	snapshot := g.config.View.Snapshot()
	if snapshot.Config == nil {
		return nil, snapshot, store.ErrUnavailable
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	if time.Since(g.config.View.Confirmed()) > maxNegativeAge {
		if !g.calls.allowReads(refreshReads) {
			return nil, snapshot, g.refuseCall()
		}
		if err := g.awaitRefresh(ctx, snapshot); err != nil {
			return nil, snapshot, err
		}
		snapshot = g.config.View.Snapshot()
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	return nil, snapshot, store.ErrNotFound
}

// awaitRefresh refreshes the view in the background and waits for that for at most maxRefreshWait.
func (g *Gateway) awaitRefresh(ctx context.Context, snapshot operatorconfig.Snapshot) error {
	done := make(chan error, 1)
	g.goBackground("refresh of the configuration", func() {
		err := errNoAnswer // the result if the call panics
		defer func() { done <- err }()
		err = g.refreshView(context.WithoutCancel(ctx), snapshot)
	})
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gateway: refresh of the configuration")
	case <-timer.C:
		return store.ErrUnavailable
	}
}

// refreshView fetches the changes of the configuration since the snapshot and applies them to the view.
func (g *Gateway) refreshView(ctx context.Context, snapshot operatorconfig.Snapshot) error {
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

// State returns the state of a job, or ErrNotFound. It reads the store if the coordinator does not answer or has
// not loaded the job. It returns ErrUnavailable if callers have caused too many calls to the store.
func (g *Gateway) State(ctx context.Context, id string) (job.State, error) {
	call, cancel := context.WithTimeout(ctx, queryTimeout)
	state, known, err := g.config.Coordinator.State(call, id)
	cancel()
	if err == nil && known {
		return state, nil
	}
	if !g.calls.allowReads(stateReads) {
		return 0, g.refuseCall()
	}
	return g.storedState(ctx, id)
}

// storedState reads the state of a job from the store, with retries until shortly before the deadline.
func (g *Gateway) storedState(ctx context.Context, id string) (job.State, error) {
	for {
		state, err := g.readStoredState(ctx, id)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, err
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < replyMargin+retryDelay {
			return 0, err
		}
		if !wait.Sleep(ctx, retryDelay) {
			return 0, err
		}
	}
}

// readStoredState makes one attempt to read the state of a job from the store.
func (g *Gateway) readStoredState(ctx context.Context, id string) (job.State, error) {
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

// Waiting returns the number of jobs in the queue with no started task, as known to the coordinator.
func (g *Gateway) Waiting(ctx context.Context, queue string) (int, error) {
	return g.config.Coordinator.Waiting(ctx, queue)
}
