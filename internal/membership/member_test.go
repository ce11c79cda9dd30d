package membership

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/wire"
)

const testRegion = "bc-coast"

// leaseTerm is the term plus margin of a worker lease, the period with which ExpiredWithin is called.
const leaseTerm = 7500 * time.Millisecond

// startMember runs a member until the test ends or the returned function is called.
func startMember(t *testing.T, name string, faulty *kvstore.Faulty) (*Member, func()) {
	t.Helper()
	member := New(Config{
		Region: testRegion, Store: faulty, Logger: log.New(io.Discard),
		Self:  Entry{EntryAddress: wire.EntryAddress{Name: name}},
		Known: func() []string { return []string{"a", "b", "c"} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = member.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return member, stop
}

// TestBackedNeverOutlivesRegistration guards against Backed returning true after the registration's lease
// has ended, for example because the TTL is measured from the reply instead of the send time.
func TestBackedNeverOutlivesRegistration(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			memory := kvstore.NewMemory()
			faulty := kvstore.NewFaulty(memory, seed)
			member, _ := startMember(t, "a", faulty)
			backed := 0
			for range 6000 {
				if random.IntN(100) == 0 {
					faulty.SetFaults(kvstore.Faults{
						Down: random.IntN(3) == 0, AnswerDelayMillis: random.Int64N(490), LoseAnswerPercent: random.IntN(40),
					})
				}
				time.Sleep(10 * time.Millisecond)
				if !member.Backed() {
					continue
				}
				backed++
				if _, err := memory.Get(t.Context(), Prefix(testRegion)+"a"); err != nil {
					t.Fatalf("seed %d: backed without a registration", seed)
				}
			}
			if backed < 1000 {
				t.Fatalf("seed %d: backed in %d of 6000 samples only", seed, backed)
			}
		})
	}
}

// TestExpiry guards against an expired registration that stays listed, against an expiry that
// ExpiredWithin drops too early, and against an entry that does not register again.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		first, second := kvstore.NewFaulty(memory, 1), kvstore.NewFaulty(memory, 2)
		a, _ := startMember(t, "a", first)
		b, _ := startMember(t, "b", second)
		time.Sleep(time.Second)
		is.Equal(len(a.Entries()), 2)
		is.Equal(a.ExpiredWithin(leaseTerm), []string{"c"}) // not watched for the whole term: "c" may have expired
		time.Sleep(10 * time.Second)
		is.Equal(a.ExpiredWithin(leaseTerm), []string{})

		second.SetFaults(kvstore.Faults{Down: true})
		time.Sleep(2500 * time.Millisecond)
		is.True(!b.StoreReachable())
		time.Sleep(time.Second)
		is.True(!b.Backed())
		is.Equal(len(a.Entries()), 1)
		is.Equal(a.ExpiredWithin(leaseTerm), []string{"b"})
		second.SetFaults(kvstore.Faults{})
		time.Sleep(1500 * time.Millisecond)
		is.True(b.Backed())
		is.Equal(b.RegistrationCount(), uint64(2))
		is.Equal(len(a.Entries()), 2)
		is.Equal(a.ExpiredWithin(leaseTerm), []string{"b"}) // the expiry counts although "b" has registered again
		is.Equal(b.ExpiredWithin(leaseTerm), []string{"c"}) // "b" could not reach the store within the term
		time.Sleep(leaseTerm)
		is.Equal(a.ExpiredWithin(leaseTerm), []string{})
	})
}

// TestMissedEvents guards against relying on the watch alone: registrations and their ends must be found
// although all events are lost.
func TestMissedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		lossy := kvstore.NewFaulty(memory, 1)
		lossy.SetFaults(kvstore.Faults{MissEventPercent: 100})
		a, _ := startMember(t, "a", lossy)
		time.Sleep(time.Second)
		_, stop := startMember(t, "b", kvstore.NewFaulty(memory, 2))
		time.Sleep(RelistInterval + time.Second)
		is.Equal(len(a.Entries()), 2)
		stop()
		time.Sleep(RelistInterval + 100*time.Millisecond)
		is.Equal(len(a.Entries()), 1)
	})
}

// TestNewIncarnationWaits guards against a restarted entry that replaces the registration of its former
// incarnation before that lease has expired, while acknowledgements of the former one may still be valid.
func TestNewIncarnationWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		former := kvstore.NewFaulty(memory, 1)
		old, _ := startMember(t, "a", former)
		time.Sleep(1500 * time.Millisecond)
		former.SetFaults(kvstore.Faults{Down: true})
		next, stop := startMember(t, "a", kvstore.NewFaulty(memory, 2))
		time.Sleep(time.Second)
		is.True(old.Backed() && !next.Backed())
		time.Sleep(3 * time.Second)
		is.True(!old.Backed() && next.Backed())
		stop() // a planned stop releases the registration immediately
		_, err := memory.Get(t.Context(), Prefix(testRegion)+"a")
		is.True(err != nil)
	})
}
