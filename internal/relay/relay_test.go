package relay

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/link"
	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// pairDialer dials the link handlers of other entries in memory, by address.
type pairDialer map[string]func(link.Conn)

// Dial implements link.Dialer.
func (d pairDialer) Dial(_ context.Context, address string) (link.Conn, error) {
	handle := d[address]
	if handle == nil {
		return nil, errors.Wrap(link.ErrDial, address)
	}
	near, far := link.Pipe()
	go handle(far)
	return near, nil
}

// newEntry returns the relay of an entry, and its path to the shared store for injecting faults.
func newEntry(address string, memory *kvstore.Memory, dialer link.Dialer) (*Relay, *kvstore.Faulty) {
	faulty := kvstore.NewFaulty(memory, 1)
	return New(Config{Name: address, Address: address, Store: faulty, Dialer: dialer, Logger: log.New(io.Discard)}), faulty
}

// serve answers the calls on a link until it ends.
func serve(ctx context.Context, r *Relay, conn link.Conn) {
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		if call, ok := message.(*wire.StoreCall); ok {
			r.Serve(ctx, conn, call)
		}
	}
}

// addRecord adds the record of another entry to the directory of an entry.
func addRecord(t *testing.T, r *Relay, address string) {
	t.Helper()
	value, err := wire.Marshal(&record{Address: address})
	if err != nil {
		t.Fatal(err)
	}
	r.directory.apply([]store.Event{{KeyValue: store.KeyValue{Key: recordPrefix + address, Value: value}}})
}

// cutOwnPath cuts an entry's own path to the store and makes a call, so that the entry detects it.
func cutOwnPath(ctx context.Context, r *Relay, faulty *kvstore.Faulty) {
	faulty.SetFaults(kvstore.Faults{Down: true})
	_, _ = r.Direct().Get(ctx, "any")
}

func putTransaction(key string) store.Transaction {
	return store.Transaction{Writes: []store.Write{{Key: key, Value: []byte("x")}}}
}

// TestAnswersAreTheSameThroughAnotherEntry guards against results and errors of the store that change when they
// are relayed by another entry.
func TestAnswersAreTheSameThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		memory := kvstore.NewMemory()
		dialer := pairDialer{}
		relaying, _ := newEntry("helper", memory, dialer)
		dialer["helper"] = func(conn link.Conn) { serve(ctx, relaying, conn) }
		r, faulty := newEntry("self", memory, dialer)
		addRecord(t, r, "helper")
		cutOwnPath(ctx, r, faulty)

		revision, err := r.Commit(ctx, putTransaction("a"))
		is.NoErr(err)
		item, err := r.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(item.Revision, revision)
		_, err = r.Get(ctx, "b")
		is.True(errors.Is(err, store.ErrNotFound))
		conditional := putTransaction("a")
		conditional.Conditions = []store.Condition{{Key: "a"}}
		_, err = r.Commit(ctx, conditional)
		var failed *store.ConditionError
		is.True(errors.As(err, &failed))
		is.Equal(failed.Revision("a"), revision)
		items, at, err := r.ListAt(ctx, "a")
		is.NoErr(err)
		is.Equal(len(items), 1)
		changes, err := r.Changes(ctx, "a", at, time.Second)
		is.NoErr(err)
		is.Equal(len(changes.Events), 0)
		is.True(errors.Is(r.RenewLease(ctx, 999), store.ErrLeaseNotFound))
		memory.Compact()
		_, err = r.Changes(ctx, "a", 0, 0)
		is.True(errors.Is(err, store.ErrCompacted))
		cancel()
		r.dropPeer(r.peer)
	})
}

// TestCommitWithoutAnswerIsUnknown guards against a commit that is reported as refused, or sent to a second entry,
// although the first entry may have made it.
func TestCommitWithoutAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var asked atomic.Int64
		dialer := pairDialer{}
		for _, address := range []string{"mute-1", "mute-2"} {
			dialer[address] = func(conn link.Conn) {
				if _, err := conn.Receive(); err == nil {
					asked.Add(1)
				}
				<-conn.Done()
			}
		}
		r, faulty := newEntry("self", kvstore.NewMemory(), dialer)
		addRecord(t, r, "mute-1")
		addRecord(t, r, "mute-2")
		cutOwnPath(t.Context(), r, faulty)
		_, err := r.Commit(t.Context(), putTransaction("a"))
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		is.Equal(asked.Load(), int64(1))
	})
}

// TestEntryWithoutPathHelpsNoOne guards against entries that relay a call in a loop when none of them can reach
// the store, and against an unbounded number of relayed calls in one entry.
func TestEntryWithoutPathHelpsNoOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relaying, faulty := newEntry("helper", kvstore.NewMemory(), pairDialer{})
		near, far := link.Pipe()
		defer near.Close()
		cutOwnPath(t.Context(), relaying, faulty)
		served := faulty.Counters()
		relaying.Serve(t.Context(), far, &wire.StoreCall{Sequence: 1, Operation: wire.StoreGet, Key: "a", TimeoutMillis: 100})
		reply, err := near.Receive()
		is.NoErr(err)
		is.Equal(reply.(*wire.StoreReply).Outcome, wire.StoreNotApplied)
		is.Equal(faulty.Counters(), served)
		for range maxCalls {
			relaying.callSlots <- struct{}{}
		}
		relaying.Serve(t.Context(), far, &wire.StoreCall{Sequence: 2, Operation: wire.StoreGet, Key: "a", TimeoutMillis: 100})
		reply, err = near.Receive()
		is.NoErr(err)
		is.Equal(reply.(*wire.StoreReply).Outcome, wire.StoreNotApplied)
	})
}

// TestStoppingEntryIsNotWaitedFor guards against a handover to an entry that is stopping: it still answers and
// can reach the store, but it no longer takes part in elections.
func TestStoppingEntryIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		memory := kvstore.NewMemory()
		dialer := pairDialer{}
		strong, _ := newEntry("strong", memory, dialer)
		strong.config.Strength = 1
		dialer["strong"] = func(conn link.Conn) { serve(ctx, strong, conn) }
		weak, _ := newEntry("weak", memory, dialer)
		done := make(chan struct{}, 2)
		for _, r := range []*Relay{strong, weak} {
			go func() { r.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(time.Second)
		is.Equal(weak.MaxStrength(), 1.0)
		is.True(weak.StrongerAvailable(ctx, 0.5))
		strong.Retire(ctx)
		is.True(!strong.isAvailable(ctx, "strong"))
		time.Sleep(directoryWait)
		is.Equal(weak.MaxStrength(), 0.0)
		is.True(!weak.StrongerAvailable(ctx, 0.5))
		cancel()
		<-done
		<-done
		time.Sleep(time.Minute)
	})
}
