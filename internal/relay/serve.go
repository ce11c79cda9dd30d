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

// Serve makes a store call for another entry and sends its reply on the link. It does not block.
func (r *Relay) Serve(ctx context.Context, conn link.Conn, call *wire.StoreCall) {
	select {
	case r.slots <- struct{}{}:
	default:
		refusedCalls.Inc()
		r.send(conn, &wire.StoreReply{Sequence: call.Sequence, Outcome: wire.StoreNotDone})
		return
	}
	servedCalls.Inc()
	go func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(ctx, min(time.Duration(call.BudgetMillis)*time.Millisecond, maxBudget))
		defer cancel()
		reply := &wire.StoreReply{Outcome: wire.StoreUnknown}
		contain.Call(r.config.Logger, "store call of another entry", func() { reply = r.make(ctx, call) })
		reply.Sequence = call.Sequence
		r.send(conn, reply)
	}()
}

// send sends a reply; without it the other entry takes the outcome as unknown.
func (r *Relay) send(conn link.Conn, reply *wire.StoreReply) {
	if err := conn.Send(reply); err != nil {
		r.config.Logger.Warn("reply to another entry not sent", "error", err)
	}
}

// make makes the call on this entry's own path.
func (r *Relay) make(ctx context.Context, call *wire.StoreCall) *wire.StoreReply {
	reply := &wire.StoreReply{}
	if r.retired.Load() || r.direct.health.away() {
		reply.Outcome = wire.StoreNotDone
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
		revision, err = r.direct.Commit(ctx, transaction(call))
		reply.Revision = uint64(revision)
	case wire.StoreRenew:
		err = r.direct.RenewLease(ctx, store.LeaseID(call.Lease))
	default:
		err = errors.Wrapf(store.ErrUnavailable, "operation %d", call.Operation)
	}
	setOutcome(reply, err)
	return reply
}
