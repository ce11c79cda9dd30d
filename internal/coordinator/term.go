package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// term is one period of leadership of this entry. The goroutine of run owns the planner.
type term struct {
	config Config
	number uint64
	// former is the number of the latest earlier term that this entry has heard of, or zero.
	former uint64
	lease  store.LeaseID
	// validUntil is the time until which no other entry can take over, in nanoseconds of Config.Now.
	validUntil atomic.Int64
	fences     atomic.Uint64

	events         chan event
	planner        *planner.Planner
	loadedProgress map[string]store.KeyValue
	applied        operatorconfig.Snapshot
	// inputListed is set once all jobs that were stored before the term have been added to the planner.
	inputListed bool
	// phases holds the time of each phase of the term's start. Only the event loop uses it; it is nil in tests of parts.
	phases *phases
	// yieldNotBefore is the earliest time at which the term may end to hand over to a stronger entry.
	yieldNotBefore time.Duration
	// commitsInFlight counts the commits without a result yet.
	commitsInFlight int
	// commitRetry fires when the next commit may follow a failed one; it is nil if no retry is pending.
	commitRetry      <-chan time.Time
	commitRetryDelay time.Duration
	sessions         map[string]*session
	pressures        keptPressures
	backlog          publishedBacklog
	// done is closed when the term ends.
	done  <-chan struct{}
	group *conc.WaitGroup
}

func newTerm(config Config, number uint64, lease store.LeaseID, validUntil time.Duration) *term {
	config.Logger = config.Logger.With("term", number)
	t := &term{
		config: config, number: number, lease: lease,
		events: make(chan event, eventQueueLength), sessions: map[string]*session{}, group: conc.NewWaitGroup(),
	}
	t.validUntil.Store(int64(validUntil))
	return t
}

// valid reports whether this entry is certain to be the coordinator still.
func (t *term) valid() bool { return int64(t.config.Now()) < t.validUntil.Load() }

// run runs the term until it ends or the context ends, and returns the cause.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer t.group.Wait()
	defer cancel(context.Canceled)
	t.done = ctx.Done()
	t.config.Logger.Info("elected coordinator")
	t.planner = planner.NewWithOptions(t.config.Timing, t.config.Options, t.config.Now())
	t.group.Go(func() {
		contain.RunWithRestart(ctx, t.config.Logger, "renewal", func(ctx context.Context) { t.renewLease(ctx, cancel) })
	})
	t.group.Go(func() {
		contain.RunWithRestart(ctx, t.config.Logger, "hand-over", func(ctx context.Context) { t.yieldToStronger(ctx, cancel) })
	})
	if err := t.takeHandover(ctx); err != nil {
		return err
	}
	if err := t.loadProgress(ctx); err != nil {
		return err
	}
	t.startPressuresRead(ctx)
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: t.config.Store, Prefix: InputPrefix, Wait: watchWait, Logger: t.config.Logger,
		Handle: func(events []store.Event, _ time.Time) { t.post(event{input: events, listed: true}) },
	})
	t.group.Go(func() { contain.RunWithRestart(ctx, t.config.Logger, "follow input", mirror.Run) })
	if !contain.Call(t.config.Logger, "decisions", func() { t.runEventLoop(ctx) }) {
		// The planner's state may be inconsistent after a panic. The next term reloads it from the store.
		cancel(errPanicked)
		return errPanicked
	}
	return context.Cause(ctx)
}

// post queues an event for the event loop. It blocks while the queue is full, until the term ends.
func (t *term) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// runEventLoop handles events until the context ends.
func (t *term) runEventLoop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	defer t.logPhases()
	defer clearGauges()
	for {
		operator := t.config.View.Changed()
		t.applyOperator()
		t.flush(ctx)
		select {
		case <-ctx.Done():
			return
		case e := <-t.events:
			t.planner.Advance(t.config.Now())
			t.handleEvent(ctx, e)
			t.drainEvents(ctx)
		case <-operator:
		case <-t.commitRetry:
			t.commitRetry = nil
		case <-tick.C:
			t.planner.Advance(t.config.Now())
			t.planner.Tick()
			setStalledTasks(t.planner.StalledTasks)
			t.keepPressures(ctx)
			t.checkPhases()
			backlogBytes.Set(float64(t.planner.Usage().Total()))
			jobsOwedProgress.Set(float64(t.planner.JobsOwedProgress()))
		case <-expire.C:
			t.planner.ExpireJobs(time.Now().UnixMilli())
		}
	}
}

// drainEvents handles the events already queued, so that one commit covers them all.
func (t *term) drainEvents(ctx context.Context) {
	for range len(t.events) {
		t.handleEvent(ctx, <-t.events)
	}
}

// applyOperator passes a changed operator snapshot to the planner.
func (t *term) applyOperator() {
	snapshot := t.config.View.Snapshot()
	if snapshot.Config == nil || snapshot.Revision == t.applied.Revision && equalZones(snapshot, t.applied) {
		return
	}
	t.applied = snapshot
	t.planner.SetOperatorSnapshot(snapshot)
}

func equalZones(x, y operatorconfig.Snapshot) bool {
	if len(x.ZonesOut) != len(y.ZonesOut) {
		return false
	}
	for zone, revision := range x.ZonesOut {
		if y.ZonesOut[zone] != revision {
			return false
		}
	}
	return true
}

// handleEvent dispatches one event.
func (t *term) handleEvent(ctx context.Context, e event) {
	switch {
	case e.agent != nil:
		t.handleAgent(e.agent)
	case e.commit != nil:
		t.handleCommit(e.commit)
	case e.query != nil:
		t.answerQuery(e.query)
	case e.backlog != nil:
		t.handleBacklogWritten(e.backlog)
	case e.pressures != nil:
		t.handlePressures(e.pressures)
	default:
		for _, change := range e.input {
			t.handleInput(ctx, change)
		}
		t.inputListed = t.inputListed || e.listed
	}
}

// handleAgent passes an event of an agent to the planner.
func (t *term) handleAgent(e *agentEvent) {
	if e.down {
		t.planner.HandleDisconnect(e.name, e.lastReply)
		return
	}
	switch message := e.message.(type) {
	case *wire.AgentReport:
		message.Agent = e.name
		t.planner.HandleReport(message)
	case *wire.RunEnded:
		t.planner.HandleRunsEnded(e.name, message)
	case *wire.RunAbsent:
		t.planner.HandleRunAbsent(e.name, message)
	case *wire.RunProgress:
		t.planner.HandleRunProgress(e.name, message)
	default:
		t.config.Logger.Warn("unexpected message from an agent", "agent", e.name, "kind", e.message.Kind())
	}
}

// flush starts the next commits, logs the planner's decisions, updates the metrics and sends the orders.
func (t *term) flush(ctx context.Context) {
	t.startCommits(ctx)
	t.publishBacklog(ctx)
	for _, decision := range t.planner.TakeEvents() {
		t.config.Logger.Info(decision.Message, decision.Fields...)
	}
	for _, timings := range t.planner.TakeTimings() {
		placingSeconds.Update(timings.PlacementDelay.Seconds())
		if timings.FirstStartDelay >= 0 {
			firstOrderSeconds.Update(timings.FirstStartDelay.Seconds())
		}
	}
	yields := t.planner.TakeYields()
	yieldedFillers.Add(yields.Stopped)
	keptFillers.Add(yields.Kept)
	countPromotions(t.planner.TakePromotions())
	for _, order := range t.planner.TakeOrders() {
		t.sendOrder(order)
	}
}

// renewLease renews the leadership's lease and ends the term once the lease has expired.
func (t *term) renewLease(ctx context.Context, lost context.CancelCauseFunc) {
	pause := renewInterval
	for wait.Sleep(ctx, pause) {
		sent := t.config.Now()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := t.config.Store.RenewLease(call, t.lease)
		cancel()
		switch {
		case err == nil:
			t.validUntil.Store(int64(sent + leaseTTL - leaseSafetyMargin))
			pause = renewInterval
		case errors.Is(err, store.ErrLeaseNotFound):
			lost(errors.Wrap(errTermLost, "lease has expired"))
			return
		default:
			t.config.Logger.Warn("lease not renewed", "valid", t.valid(), "error", err)
			pause = renewRetryDelay
		}
	}
}
