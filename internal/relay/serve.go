package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/contain"
	"clementineflow/internal/link"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// Serve makes a store call for another entry and sends the reply on the link. It does not block. It refuses the
// call while maxCalls calls are in progress.
func (r *Relay) Serve(ctx context.Context, conn link.Conn, call *wire.StoreCall) {
	select {
	case r.callSlots <- struct{}{}:
	default:
		refusedCalls.Inc()
		r.sendReply(conn, &wire.StoreReply{Sequence: call.Sequence, Outcome: wire.StoreNotApplied})
		return
	}
	servedCalls.Inc()
	go func() {
		defer func() { <-r.callSlots }()
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(call.TimeoutMillis)*time.Millisecond, maxBudget))
		defer cancel()
		reply := &wire.StoreReply{Outcome: wire.StoreOutcomeUnknown}
		contain.Call(r.config.Logger, "store call of another entry", func() { reply = r.makeCall(ctx, call) })
		reply.Sequence = call.Sequence
		r.sendReply(conn, reply)
	}()
}

// sendReply sends a reply. Without a reply the other entry treats the outcome of a commit as unknown.
func (r *Relay) sendReply(conn link.Conn, reply *wire.StoreReply) {
	if err := conn.Send(reply); err != nil {
		r.config.Logger.Warn("reply to another entry not sent", "error", err)
	}
}

// makeCall makes the call on this entry's own path, unless that path is lost or the entry is retired.
func (r *Relay) makeCall(ctx context.Context, call *wire.StoreCall) *wire.StoreReply {
	reply := &wire.StoreReply{}
	if r.retired.Load() || r.direct.health.pathLost() {
		reply.Outcome = wire.StoreNotApplied
		return reply
	}
	var err error
	switch call.Operation {
	case wire.StoreGet:
		var item store.KeyValue
		if item, err = r.direct.Get(ctx, call.Key); err == nil {
			reply.Items = []wire.StoreItem{storeItem(item)}
		}
	case wire.StoreList:
		var items []store.KeyValue
		var at store.Revision
		items, at, err = r.direct.ListAt(ctx, call.Key)
		reply.Items, reply.Revision = storeItems(items), uint64(at)
	case wire.StoreChanges:
		var changes store.Changes
		changes, err = r.direct.Changes(ctx, call.Key, store.Revision(call.After), time.Duration(call.WaitMillis)*time.Millisecond)
		reply.Items, reply.Revision = eventItems(changes.Events), uint64(changes.At)
	case wire.StoreCommit:
		var revision store.Revision
		revision, err = r.direct.Commit(ctx, callTransaction(call))
		reply.Revision = uint64(revision)
	case wire.StoreRenew:
		err = r.direct.RenewLease(ctx, store.LeaseID(call.Lease))
	default:
		err = errors.Wrapf(store.ErrUnavailable, "operation %d", call.Operation)
	}
	setOutcome(reply, err)
	return reply
}
