package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/backlog"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
	"clementineflow/internal/telemetry"
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
