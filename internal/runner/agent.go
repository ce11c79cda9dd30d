package runner

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/wire"
)

// Config holds what an Agent depends on.
type Config struct {
	Name   string
	Worker Worker
	// LeaseTerm is the longest extension of the worker's lease at a time.
	LeaseTerm time.Duration
	// Authority is how long an acknowledged ping lets the agent extend the lease.
	Authority time.Duration
	// Now reads a clock that counts suspended time.
	Now    func() time.Duration
	Logger *log.Logger
}

// Agent runs jobs on the worker beside it. Create it with New; it is safe for concurrent use.
type Agent struct {
	config Config
	group  *conc.WaitGroup
	// lifetime ends with Run. Starts and stops outlive the link on which they were ordered: the next
	// coordinator sees them in the agent's report.
	lifetime context.Context
	end      context.CancelFunc

	mu sync.Mutex
	// worker is the latest description; its ID is empty while no worker is known.
	worker Description
	// lost is set while the worker is silent and its lease has ended.
	lost  bool
	lease runLease
	fence uint64
	// lives counts the lives of the worker on the current link; it is the low part of the fence, so that
	// an order to a former life is refused by the next one.
	lives uint64
	// verified is set while the latest look reached the life that the agent knows. Until then no end is
	// confirmed: numbers begin anew in each life.
	verified bool
	term     uint64
	conn     link.Conn
	pings    pingLog

	runs map[string]*localRun
	ends endList
	// absent holds the highest run of each task that was reported as absent in this life of the worker. A
	// second order for such a run may still be on its way and must not start it.
	absent map[string]uint32
	// complete is set once a look at this life of the worker has been taken in.
	complete bool
	// restarted is set until the coordinator has been told that the agent forgot its runs' attributes.
	restarted    bool
	lookClock    time.Duration
	answeredAt   time.Duration
	refusedSince time.Duration
	paces        pacer
	// servingNow holds the runs with a latency target of the latest look.
	servingNow []servingRun
	// wake is closed when the look loop has something new to do.
	wake chan struct{}
}

// localRun is a run that is, or may be, on the worker.
type localRun struct {
	task string
	run  uint32
	// settled is set once the worker has shown the run or confirmed its start.
	settled bool
	// stopping is set once the run was told to stop, settling while that is carried out.
	stopping bool
	settling bool
	row      wire.RunRow
	// figure is the latest figure of the run: see RunState.
	figure int64
	// order is the start order, or nil if the agent found the run on the worker.
	order *wire.StartRun
	// startedAt is the worker's clock when it confirmed the start.
	startedAt time.Duration
}

// New returns an agent that knows no worker yet.
func New(config Config) *Agent {
	lifetime, end := context.WithCancel(context.Background())
	return &Agent{
		lifetime: lifetime, end: end,
		config: config, group: conc.NewWaitGroup(),
		// A former life of the agent may have extended the lease as far as its authority went.
		lease: runLease{term: config.LeaseTerm, limit: config.Now() + config.Authority},
		runs:  map[string]*localRun{}, absent: map[string]uint32{},
		ends: newEndList(), restarted: true, paces: newPacer(), wake: make(chan struct{}),
	}
}

// Run looks after the worker until the context ends, then extends its lease once more, so that its runs
// outlive a restart of the agent.
func (a *Agent) Run(ctx context.Context) {
	a.group.Go(func() { contain.Duty(ctx, a.config.Logger, "look", a.look) })
	<-ctx.Done()
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	a.handOver()
	a.end()
	a.group.Wait()
}

// handOver extends the lease as far as the authority allows.
func (a *Agent) handOver() {
	a.mu.Lock()
	due, ok := a.lease.extend(a.config.Now(), a.config.Authority)
	request := HoldRequest{Target: a.targetLocked(), Due: due, ConfirmedUpTo: a.confirmedLocked()}
	known := a.worker.ID != ""
	a.mu.Unlock()
	if !ok || !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_, err := a.config.Worker.Hold(ctx, request)
	a.config.Logger.Info("lease extended before the stop", "due_ms", due.Milliseconds(), "error", err)
}

// targetLocked names the current life of the worker.
func (a *Agent) targetLocked() Target {
	return Target{ID: a.worker.ID, Fence: a.fence<<lifeBits + min(a.lives, maxLives)}
}

// confirmedLocked returns the number up to which ends may be confirmed to the worker.
func (a *Agent) confirmedLocked() uint64 {
	if !a.verified {
		return 0
	}
	return a.ends.confirmedUpTo
}

const (
	// lifeBits is the part of a fence that counts lives of the worker.
	lifeBits = 6
	maxLives = 1<<lifeBits - 1
)

// wakeLocked makes the look loop go on at once.
func (a *Agent) wakeLocked() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// sendLocked sends a message to the coordinator, if there is a link.
func (a *Agent) sendLocked(message wire.Message) {
	if a.conn == nil {
		return
	}
	if err := a.conn.Send(message); err != nil {
		a.config.Logger.Warn("message to the coordinator not sent, closing the link", "kind", message.Kind(), "error", err)
		a.conn.Close()
	}
}
