package coordinator

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/contain"
	"clementineflow/internal/job"
	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/planner"
	"clementineflow/internal/store"
	"clementineflow/internal/wait"
	"clementineflow/internal/wire"
)

// term is the work of an entry while it is the coordinator. One goroutine, run, owns the planner.
type term struct {
	config Config
	number uint64
	lease  store.LeaseID
	// validUntil is when another entry may take over, in nanoseconds of the clock.
	validUntil atomic.Int64
	fences     atomic.Uint64

	events  chan event
	planner *planner.Planner
	loaded  map[string]store.KeyValue
	applied operatorconfig.Snapshot
	// yieldFrom is from when on the term may end in favour of a stronger entry.
	yieldFrom time.Duration
	// commits is the number of commits in flight.
	commits int
	// retry fires when the next commit may follow a failed one; it is nil if none has failed.
	retry      <-chan time.Time
	retryDelay time.Duration
	sessions   map[string]*session
	group      *conc.WaitGroup
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

// valid reports whether no other entry can have taken over yet.
func (t *term) valid() bool { return int64(t.config.Now()) < t.validUntil.Load() }

// run serves the term until it is lost or the context ends.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer t.group.Wait()
	defer cancel(context.Canceled)
	t.config.Logger.Info("elected coordinator")
	t.planner = planner.New(t.config.Timing, t.config.Now())
	t.group.Go(func() {
		contain.Duty(ctx, t.config.Logger, "renewal", func(ctx context.Context) { t.renew(ctx, cancel) })
	})
	t.group.Go(func() {
		contain.Duty(ctx, t.config.Logger, "hand-over", func(ctx context.Context) { t.yield(ctx, cancel) })
	})
	if err := t.load(ctx); err != nil {
		return err
	}
	mirror := store.NewMirror(store.MirrorConfig{
		Feed: t.config.Store, Prefix: InputPrefix, Wait: watchWait, Logger: t.config.Logger,
		Handle: func(events []store.Event, _ time.Time) { t.post(ctx, event{input: events}) },
	})
	t.group.Go(func() { contain.Duty(ctx, t.config.Logger, "follow input", mirror.Run) })
	if !contain.Call(t.config.Logger, "decisions", func() { t.loop(ctx) }) {
		// What the planner holds may be wrong; the next term reads it anew from the store.
		cancel(errPanicked)
	}
	return context.Cause(ctx)
}

// post hands an event to the loop.
func (t *term) post(ctx context.Context, e event) {
	select {
	case t.events <- e:
	case <-ctx.Done():
	}
}

// load reads the progress of all jobs.
func (t *term) load(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		items, _, err := t.config.Store.ListAt(call, progressPrefix)
		cancel()
		if err == nil {
			t.loaded = make(map[string]store.KeyValue, len(items))
			for _, item := range items {
				t.loaded[progressID(item.Key)] = item
			}
			t.config.Logger.Info("progress loaded", "jobs", len(items))
			return nil
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		t.config.Logger.Warn("progress can't be loaded yet", "error", err)
		if !wait.Sleep(ctx, tickInterval) {
			return context.Cause(ctx)
		}
	}
}

// loop handles events until the context ends.
func (t *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		operator := t.config.View.Changed()
		t.applyOperator()
		t.flush(ctx)
		select {
		case <-ctx.Done():
			return
		case e := <-t.events:
			t.planner.Advance(t.config.Now())
			t.handle(ctx, e)
			t.drain(ctx)
		case <-operator:
		case <-t.retry:
			t.retry = nil
		case <-tick.C:
			t.planner.Advance(t.config.Now())
			t.planner.Tick()
		case <-expire.C:
			t.planner.Expire(time.Now().UnixMilli())
		}
	}
}

// drain handles the events that already wait, so that one commit serves them all.
func (t *term) drain(ctx context.Context) {
	for range len(t.events) {
		t.handle(ctx, <-t.events)
	}
}

// applyOperator hands a change of the operator's decisions to the planner.
func (t *term) applyOperator() {
	snapshot := t.config.View.Snapshot()
	if snapshot.Config == nil || snapshot.Revision == t.applied.Revision && equalZones(snapshot, t.applied) {
		return
	}
	t.applied = snapshot
	t.planner.SetOperator(snapshot)
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

// handle takes in one event.
func (t *term) handle(ctx context.Context, e event) {
	switch {
	case e.agent != nil:
		t.handleAgent(e.agent)
	case e.commit != nil:
		t.handleCommit(e.commit)
	case e.ask != nil:
		t.answer(e.ask)
	default:
		for _, change := range e.input {
			t.handleInput(ctx, change)
		}
	}
}

// handleInput takes in a change of a key under InputPrefix.
func (t *term) handleInput(ctx context.Context, change store.Event) {
	switch {
	case strings.HasPrefix(change.Key, jobPrefix):
		if !change.Deleted {
			t.addJob(change)
		}
	case strings.HasPrefix(change.Key, cancelPrefix):
		if !change.Deleted {
			t.planner.Cancel(strings.TrimPrefix(change.Key, cancelPrefix))
		}
	case strings.HasPrefix(change.Key, agentPrefix):
		t.handleAgentRecord(ctx, change)
	}
}

// addJob hands a job to the planner, with its recorded progress.
func (t *term) addJob(change store.Event) {
	spec, err := job.DecodeSpec(change.Value)
	if err != nil || spec.ID != strings.TrimPrefix(change.Key, jobPrefix) {
		t.config.Logger.Error("job record can't be read", "key", change.Key, "error", err)
		return
	}
	item := t.loaded[spec.ID]
	delete(t.loaded, spec.ID)
	var progress *job.Progress
	if item.Revision != 0 {
		if progress, err = job.DecodeProgress(item.Value); err != nil {
			t.config.Logger.Error("progress record can't be read", "key", item.Key, "error", err)
			return
		}
	}
	t.planner.AddJob(spec, progress, item.Revision, time.Since(spec.AcceptedAt))
}

// handleAgent takes in a message of an agent.
func (t *term) handleAgent(e *agentEvent) {
	if e.down {
		t.planner.AgentDown(e.name, e.lastReply)
		return
	}
	switch message := e.message.(type) {
	case *wire.AgentReport:
		message.Agent = e.name
		t.planner.Report(message)
	case *wire.RunEnded:
		t.planner.Ended(e.name, message)
	case *wire.RunAbsent:
		t.planner.Absent(e.name, message)
	case *wire.RunProgress:
		t.planner.RunProgress(e.name, message)
	default:
		t.config.Logger.Warn("unexpected message of an agent", "agent", e.name, "kind", e.message.Kind())
	}
}

// flush logs the planner's decisions, sends its orders and starts the next commit.
func (t *term) flush(ctx context.Context) {
	t.startCommits(ctx)
	for _, decision := range t.planner.TakeEvents() {
		t.config.Logger.Info(decision.Message, decision.Fields...)
	}
	for _, timings := range t.planner.TakeTimings() {
		placingSeconds.Update(timings.Placing.Seconds())
		if timings.HandIn >= 0 {
			handInSeconds.Update(timings.HandIn.Seconds())
		}
	}
	for _, order := range t.planner.TakeOrders() {
		t.send(order)
	}
}

// renew keeps the leadership's lease and ends the term when it is lost.
func (t *term) renew(ctx context.Context, lost context.CancelCauseFunc) {
	pause := renewInterval
	for wait.Sleep(ctx, pause) {
		sent := t.config.Now()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := t.config.Store.RenewLease(call, t.lease)
		cancel()
		switch {
		case err == nil:
			t.validUntil.Store(int64(sent + leaseTTL - leaseSafety))
			pause = renewInterval
		case errors.Is(err, store.ErrLeaseNotFound):
			lost(errors.Wrap(errTermLost, "lease has expired"))
			return
		default:
			t.config.Logger.Warn("lease not renewed", "valid", t.valid(), "error", err)
			pause = renewRetry
		}
	}
}
