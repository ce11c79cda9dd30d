package shard

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/membership"
	"clementineflow/internal/standin/kvstore"
)

// TestOwnershipFollowsEntries guards against shards without an owner, with two owners, or with an
// owner other than the intended one, while entries start, stop and are paused.
func TestOwnershipFollowsEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		a := startNode(t, "a", memory, 1)
		time.Sleep(2 * time.Second)
		is.Equal(ownedBy(a), Count)
		b, c := startNode(t, "b", memory, 2), startNode(t, "c", memory, 3)
		time.Sleep(3 * time.Second)
		is.Equal(ownedBy(a, b, c), Count)
		is.True(ownedBy(a) < Count && ownedBy(b) > 0 && ownedBy(c) > 0)
		b.stop()
		time.Sleep(time.Second)
		is.Equal(ownedBy(a, c), Count) // a planned stop does not wait for the lease to expire
		is.Equal(ownedBy(b), 0)
		c.store.pause()
		time.Sleep(membership.LeaseTTL + 1500*time.Millisecond)
		is.Equal(ownedBy(a), Count)
		c.store.resume()
		time.Sleep(3 * time.Second)
		is.Equal(ownedBy(a, c), Count)
	})
}

// TestFrozenOwnerIsFenced guards against an owner that commits, or reports the shard as its own,
// after it was replaced while paused.
func TestFrozenOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		a, b := startNode(t, "a", memory, 1), startNode(t, "b", memory, 2)
		time.Sleep(3 * time.Second)
		replaced := a.manager.Owned()[0]
		epoch := replaced.Epoch()
		a.store.pause()
		result := make(chan error, 1)
		go func() { result <- replaced.Propose(t.Context(), addTask(taskIn(replaced.ID()))) }()
		time.Sleep(membership.LeaseTTL + 1500*time.Millisecond)
		next, ok := b.manager.Shard(replaced.ID())
		is.True(ok)
		is.True(next.Epoch() > epoch)
		is.NoErr(next.Propose(t.Context(), addTask("other")))
		a.store.resume()
		is.True(errors.Is(<-result, ErrNotOwner))
		time.Sleep(5 * time.Second)
		document, err := a.manager.Read(t.Context(), replaced.ID())
		is.NoErr(err)
		is.Equal(len(document.Tasks), 1)
		is.Equal(ownedBy(a, b), Count)
	})
}

// TestIdleReplacedOwnerNotices guards against an owner that receives no proposals and still reports a
// shard as its own after another entry has claimed it.
func TestIdleReplacedOwnerNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		a, b := startNode(t, "a", memory, 1), startNode(t, "b", memory, 2)
		time.Sleep(3 * time.Second)
		ownedBefore := len(a.manager.Owned())
		is.True(ownedBefore > 0)
		a.faulty.SetFaults(kvstore.Faults{Down: true})
		time.Sleep(10 * time.Second)
		is.Equal(len(a.manager.Owned()), ownedBefore) // an unreachable store does not end the ownership
		is.Equal(ownedBy(b), Count)
		err := a.manager.Owned()[0].Propose(t.Context(), addTask("x"))
		is.True(errors.Is(err, ErrUnavailable))
		b.store.pause() // so that it cannot release what it claimed
		a.faulty.SetFaults(kvstore.Faults{})
		time.Sleep(1500 * time.Millisecond)
		is.Equal(ownedBy(a), 0)
	})
}

// TestLostAnswer guards against a commit that is reported as failed although it was applied, and
// against a late write that takes effect after its failure was reported.
func TestLostAnswer(t *testing.T) {
	for _, faults := range []kvstore.Faults{
		{LoseAnswers: 1},
		{LateWrites: 1, LateWriteMillis: 50},
		{LateWrites: 2, LateWriteMillis: 2000},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a := startNode(t, "a", kvstore.NewMemory(), 1)
			time.Sleep(2 * time.Second)
			owned := a.manager.Owned()[0]
			a.faulty.SetFaults(faults)
			is.NoErr(owned.Propose(t.Context(), addTask("x")))
			time.Sleep(5 * time.Second)
			document, err := a.manager.Read(t.Context(), owned.ID())
			is.NoErr(err)
			is.Equal(len(document.Tasks), 1)
			is.Equal(document.Epoch, owned.Epoch())
		})
	}
}

// TestUnansweredClaim guards against a claim without a response that is applied after the intended owner
// has changed and is not detected, which leaves the shard with an owner that neither serves nor
// releases it.
func TestUnansweredClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		a, b := startNode(t, "a", memory, 1), startNode(t, "b", memory, 2)
		time.Sleep(5100 * time.Millisecond)
		is.True(ownedBy(b) > 0)
		a.faulty.SetFaults(kvstore.Faults{LateWrites: 1 << 10, LateWriteMillis: 800})
		b.stop()
		time.Sleep(50 * time.Millisecond)
		b = startNode(t, "b", memory, 3)
		b.faulty.SetFaults(kvstore.Faults{DelayMillis: 200}) // "b" claims after the delayed claims of "a"
		time.Sleep(1500 * time.Millisecond)
		a.faulty.SetFaults(kvstore.Faults{})
		b.faulty.SetFaults(kvstore.Faults{})
		time.Sleep(5 * time.Second)
		is.Equal(ownedBy(a, b), Count)
	})
}

// TestCommitRate guards against more than one write in flight or per interval, and against store
// calls of an idle entry.
func TestCommitRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := startNode(t, "a", kvstore.NewMemory(), 1)
		time.Sleep(5 * time.Second)
		a.faulty.ResetCounters()
		time.Sleep(time.Minute)
		idle := a.faulty.Counters()
		t.Logf("idle entry, membership and 16 shards, one minute: %+v (%.2f calls/s)", idle, float64(idle.Total())/60)
		is.Equal(idle.CompareAndSwap, uint64(0))
		is.True(idle.Total() <= 150) // 1 renewal/s, 0.5 lists/s, verification of 16 shards every 30 s

		owned := a.manager.Owned()[0]
		a.faulty.SetFaults(kvstore.Faults{DelayMillis: 5})
		a.faulty.ResetCounters()
		var group sync.WaitGroup
		for i := range 500 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				is.NoErr(owned.Propose(t.Context(), addTask(fmt.Sprint(i))))
			})
		}
		group.Wait()
		writes := a.faulty.Counters().CompareAndSwap
		t.Logf("500 proposals in one second on one shard: %d writes", writes)
		is.True(writes >= 8 && writes <= 12)
	})
}
