package coordinator

import (
	"context"
	"time"

	"clementineflow/internal/backlog"
	"clementineflow/internal/store"
)

// publishedBacklog is the state of the backlog as far as the term has stored it.
type publishedBacklog struct {
	state backlog.State
	// writing is set while a write is in progress. failed is set after a write without a known outcome, and retryAt is then the
	// earliest time of the next one.
	writing, failed bool
	retryAt         time.Duration
}

// backlogWritten is the outcome of a write of the state of the backlog.
type backlogWritten struct {
	state backlog.State
	err   error
}

// publishBacklog stores what there is no room for, if that has changed. The record is bound to the lease of the term: with
// the coordinator's end, entries admit jobs within their allowance until the next one has read the backlog.
func (t *term) publishBacklog(ctx context.Context) {
	if t.config.Backlog == 0 || t.backlog.writing || !t.valid() || t.config.Now() < t.backlog.retryAt {
		return
	}
	limit := t.config.Backlog.Min(t.config.Peers.MinBacklog())
	usage := t.planner.Usage()
	next := limit.Decide(usage, t.backlog.state)
	if next.Equal(t.backlog.state) && !t.backlog.failed {
		return
	}
	t.config.Logger.Warn("room for stored jobs changed", "closed_queues", next.Queues, "cancellations_closed", next.Cancellations,
		"held_bytes", usage.Total(), "limit_bytes", int64(limit))
	t.backlog.writing = true
	t.group.Go(func() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		t.post(event{backlog: &backlogWritten{state: next, err: t.writeBacklog(call, next)}})
	})
}

// writeBacklog stores the state of the backlog on condition that the term has not ended.
func (t *term) writeBacklog(ctx context.Context, state backlog.State) error {
	transaction := store.Transaction{Conditions: []store.Condition{{Key: leaderKey, Revision: store.Revision(t.number)}}}
	if state.Empty() {
		transaction.Deletes = []string{backlogKey}
	} else {
		value, err := state.Encode()
		if err != nil {
			return err
		}
		transaction.Writes = []store.Write{{Key: backlogKey, Value: value, Lease: t.lease}}
	}
	_, err := t.config.Store.Commit(ctx, transaction)
	return err
}

// handleBacklogWritten records the outcome of a write. A failed one is repeated after a tick.
func (t *term) handleBacklogWritten(written *backlogWritten) {
	t.backlog.writing = false
	t.backlog.failed = written.err != nil
	if t.backlog.failed {
		t.config.Logger.Warn("room for stored jobs not published", "error", written.err)
		t.backlog.retryAt = t.config.Now() + tickInterval
		return
	}
	t.backlog.state = written.state
}

// applyBacklogState passes the stored state of the backlog to the admission of this entry.
func (c *Coordinator) applyBacklogState(change store.Event) {
	if change.Deleted {
		c.config.Admission.SetState(backlog.State{})
		return
	}
	state, err := backlog.DecodeState(change.Value)
	if err != nil {
		store.ReportMalformed(c.config.Logger, "backlog", change.Key, err)
		return
	}
	c.config.Admission.SetState(state)
}
