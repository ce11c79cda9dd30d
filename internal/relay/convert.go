package relay

import (
	"github.com/pkg/errors"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// setOutcome sets the reply's outcome for the error of a store call, which may be nil.
func setOutcome(reply *wire.StoreReply, err error) {
	var failed *store.ConditionError
	switch {
	case err == nil:
		reply.Outcome = wire.StoreDone
	case errors.As(err, &failed):
		reply.Outcome = wire.StoreConditionFailed
		reply.Items = storeItems(failed.Current)
	case errors.Is(err, store.ErrNotFound):
		reply.Outcome = wire.StoreNotFound
	case errors.Is(err, store.ErrLeaseNotFound):
		reply.Outcome = wire.StoreLeaseNotFound
	case errors.Is(err, store.ErrCompacted):
		reply.Outcome = wire.StoreCompacted
	case errors.Is(err, store.ErrOutcomeUnknown):
		reply.Outcome = wire.StoreOutcomeUnknown
	default:
		reply.Outcome = wire.StoreNotApplied
	}
}

// replyError returns the store error for the outcome of a reply, or nil.
func replyError(reply *wire.StoreReply) error {
	switch reply.Outcome {
	case wire.StoreDone:
		return nil
	case wire.StoreConditionFailed:
		failed := &store.ConditionError{}
		for i := range reply.Items {
			failed.Current = append(failed.Current, keyValue(&reply.Items[i]))
		}
		return failed
	case wire.StoreNotFound:
		return store.ErrNotFound
	case wire.StoreLeaseNotFound:
		return store.ErrLeaseNotFound
	case wire.StoreCompacted:
		return store.ErrCompacted
	case wire.StoreOutcomeUnknown:
		return errors.Wrap(store.ErrOutcomeUnknown, "through another entry")
	default:
		return errors.Wrap(store.ErrUnavailable, "through another entry")
	}
}

// commitCall returns the call that commits a transaction.
func commitCall(t store.Transaction) *wire.StoreCall {
	call := &wire.StoreCall{Operation: wire.StoreCommit, Deletes: t.Deletes}
	for _, condition := range t.Conditions {
		call.Conditions = append(call.Conditions, wire.StoreItem{Key: condition.Key, Revision: uint64(condition.Revision)})
	}
	for _, write := range t.Writes {
		call.Writes = append(call.Writes, wire.StoreItem{Key: write.Key, Value: write.Value, Lease: uint64(write.Lease)})
	}
	return call
}

// callTransaction returns the transaction of a commit call.
func callTransaction(call *wire.StoreCall) store.Transaction {
	t := store.Transaction{Deletes: call.Deletes}
	for i := range call.Conditions {
		item := &call.Conditions[i]
		t.Conditions = append(t.Conditions, store.Condition{Key: item.Key, Revision: store.Revision(item.Revision)})
	}
	for i := range call.Writes {
		item := &call.Writes[i]
		t.Writes = append(t.Writes, store.Write{Key: item.Key, Value: item.Value, Lease: store.LeaseID(item.Lease)})
	}
	return t
}

func storeItem(item store.KeyValue) wire.StoreItem {
	return wire.StoreItem{Key: item.Key, Value: item.Value, Revision: uint64(item.Revision), Lease: uint64(item.Lease)}
}

func storeItems(items []store.KeyValue) []wire.StoreItem {
	result := make([]wire.StoreItem, 0, len(items))
	for _, item := range items {
		result = append(result, storeItem(item))
	}
	return result
}

func eventItems(events []store.Event) []wire.StoreItem {
	result := make([]wire.StoreItem, 0, len(events))
	for _, event := range events {
		item := storeItem(event.KeyValue)
		item.Deleted = event.Deleted
		result = append(result, item)
	}
	return result
}

func keyValue(item *wire.StoreItem) store.KeyValue {
	return store.KeyValue{
		Key: item.Key, Value: item.Value, Revision: store.Revision(item.Revision), Lease: store.LeaseID(item.Lease),
	}
}
