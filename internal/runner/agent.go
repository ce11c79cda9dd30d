package runner

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/telemetry"
	"clementineflow/internal/wire"
)

// Config holds the settings and dependencies of an Agent.
type Config struct {
	Name   string
	Worker Worker
	// LeaseTerm is the maximum time by which one call extends the worker's lease.
	LeaseTerm time.Duration
	// Authority is how long after sending a ping the agent may keep the lease extended, once the coordinator
	// has acknowledged the ping.
	Authority time.Duration
	// Relief is which fillers are paused beside a run over its latency target.
	Relief Relief
	// Now returns the time of a clock that also advances while the machine is suspended.
	Now    func() time.Duration
	Logger *log.Logger
}

// Agent runs jobs on the worker of the same machine. Create it with New; it is safe for concurrent use.
type Agent struct {
	config     Config
	refusals   *telemetry.RefusalLogger
	goroutines *conc.WaitGroup
	// baseCtx is cancelled when Run ends. Starts and stops go on after the link that ordered them is closed:
	// the next coordinator gets their outcome in the agent's report.
	baseCtx context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// worker is the latest status of the worker. Its ID is empty until the first status arrives.
	worker WorkerStatus
	// workerLost is set while the worker counts as lost: it has left, refuses connections, or has not answered
	// until its lease ended. All runs that were started on the machine have ended then, also those of an earlier
	// process of the agent. Each report states it until the worker answers again or a new one appears.
	workerLost bool
	lease      runLease
	fence      uint64
	// incarnations counts the worker's restarts on the current link. It forms the low bits of the fence, so
	// that the worker rejects an order that was meant for its previous incarnation.
	incarnations uint64
	// incarnationVerified is set while the latest poll was answered by the incarnation in worker. Unless it is
	// set, no end is confirmed: each incarnation numbers its ends from the start again.
	incarnationVerified bool
	// answeredBy is the incarnation that answered the latest poll in place of the known one, or zero.
	answeredBy      int64
	coordinatorTerm uint64
	conn            link.Conn
	// reportedAt is when the latest report was sent.
	reportedAt time.Duration
	pings      pingLog

	runs map[string]*localRun
	ends endList
	// absent holds, for each task, the highest run that was reported as absent in this incarnation of the
	// worker. A repeated order for such a run may still be in flight and must not start it.
	absent map[string]uint32
	// snapshotTaken is set once a snapshot of this incarnation of the worker has been applied.
	snapshotTaken bool
	// endsKnown is set once a snapshot of this incarnation has listed all of the worker's ends.
	endsKnown bool
	// snapshotClock is the worker's clock in the latest applied snapshot.
	snapshotClock time.Duration
	// pollsBegun counts the polls that were sent.
	pollsBegun   uint64
	answeredAt   time.Duration
	refusedSince time.Duration
	// leftAt is when the latest leave call in the worker's name arrived, or zero if there was none or the worker has answered
	// more than leaveTimeout after it.
	leftAt time.Duration
	// failingSince is when the first call failed since the worker's last answer, or zero.
	failingSince time.Duration
	// endSeenAt is when a connection was first refused, or another incarnation first answered, since the worker's last
	// answer, or zero.
	endSeenAt time.Duration
	// crash is the latest crash of the worker, or nil. It is part of each report, since a report can be lost.
	crash *wire.WorkerCrash
	pacer pacer
	// serving holds the runs with a latency target in the latest snapshot.
	serving []servingRun
	// wake is closed to make the poll loop continue at once.
	wake chan struct{}
}

// localRun is a run that is, or may be, on the worker.
type localRun struct {
	task string
	run  uint32
	// startConfirmed is set once the worker has listed the run or confirmed its start.
	startConfirmed bool
	// confirmedAtPoll is the number of the latest poll that was sent when the start was confirmed, listedInPoll the number
	// of the latest poll whose answer listed the run.
	confirmedAtPoll uint64
	listedInPoll    uint64
	// missedPolls counts the complete answers in a row that lack the run.
	missedPolls int
	// stopRequested is set once the coordinator has ordered a stop, stopInProgress while it is carried out.
	stopRequested  bool
	stopInProgress bool
	row            wire.RunRow
	// measurement is the run's latest RunState.Measurement.
	measurement int64
	// startOrder is nil if the agent found the run on the worker and has got no order for it.
	startOrder *wire.StartRun
	// startedAt is the worker's clock at its confirmation of the start.
	startedAt time.Duration
	// startSentAt is when the first start call was sent, or zero if the agent sent none.
	startSentAt time.Duration
}

// New returns an agent without a worker; UpdateStatus sets the worker.
func New(config Config) *Agent {
	baseCtx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		baseCtx: baseCtx, cancel: cancel,
		config: config, refusals: telemetry.NewRefusalLogger(config.Logger), goroutines: conc.NewWaitGroup(),
		// The agent's previous process may have extended the lease up to the end of its authority.
		lease: runLease{maxExtension: config.LeaseTerm, endsBy: config.Now() + config.Authority},
		runs:  map[string]*localRun{}, absent: map[string]uint32{},
		ends: newEndList(), pacer: newPacer(), wake: make(chan struct{}),
	}
	a.pacer.relief.mode = config.Relief
	return a
}

// Run polls the worker until the context ends, then extends its lease once more so that the runs survive a
// restart of the agent.
func (a *Agent) Run(ctx context.Context) {
	a.goroutines.Go(func() { contain.RunWithRestart(ctx, a.config.Logger, "look", a.pollWorker) })
	<-ctx.Done()
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	a.extendLeaseBeforeStop()
	a.cancel()
	a.goroutines.Wait()
}

// extendLeaseBeforeStop extends the lease as far as the authority allows.
func (a *Agent) extendLeaseBeforeStop() {
	a.mu.Lock()
	leaseEnd, ok := a.lease.extend(a.config.Now(), a.config.Authority)
	request := PollRequest{Target: a.targetLocked(), LeaseEnd: leaseEnd, ConfirmedUpTo: a.confirmedLocked()}
	known := a.worker.ID != ""
	a.mu.Unlock()
	if !ok || !known {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_, err := a.config.Worker.Poll(ctx, request)
	a.config.Logger.Info("extended the worker lease before the stop", "due_ms", leaseEnd.Milliseconds(), "error", err)
}

// targetLocked returns the target for calls to the worker's current incarnation.
func (a *Agent) targetLocked() Target {
	return Target{ID: a.worker.ID, Fence: a.fence<<incarnationBits + min(a.incarnations, maxIncarnations)}
}

// confirmedLocked returns the number up to which ends may be confirmed to the worker, or 0 if its
// incarnation is not verified.
func (a *Agent) confirmedLocked() uint64 {
	if !a.incarnationVerified {
		return 0
	}
	return a.ends.confirmedUpTo
}

const (
	// incarnationBits is the number of low bits of a fence that count incarnations of the worker.
	incarnationBits = 6
	maxIncarnations = 1<<incarnationBits - 1
)

// wakeLocked makes the poll loop continue at once.
func (a *Agent) wakeLocked() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// sendLocked sends a message to the coordinator if there is a link, and closes the link on an error.
func (a *Agent) sendLocked(message wire.Message) {
	if a.conn == nil {
		return
	}
	if err := a.conn.Send(message); err != nil {
		a.config.Logger.Warn("failed to send a message to the coordinator; closing the link", "kind", message.Kind(), "error", err)
		a.conn.Close()
	}
}
