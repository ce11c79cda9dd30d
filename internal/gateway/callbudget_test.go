package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCallBudgetIsShared guards against entries that together use up the calls of the store for callers, against a queue that
// takes those of all others, against a budget that keeps its size when entries come, and against one that never fills again.
func TestCallBudgetIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		entries := 1
		b := newCallBudget(StoreRates{Writes: 400, Reads: 2000}, func() int { return entries })
		crowd, ordinary := func() bool { return b.allowSubmission("crowd") }, func() bool { return b.allowSubmission("ordinary") }
		// Half of the rate for two seconds, of which one queue may take a half.
		is.Equal(allowed(crowd), 200)
		is.Equal(allowed(ordinary), 200)
		time.Sleep(time.Second)
		is.Equal(allowed(crowd), 100)
		entries = 4
		is.Equal(allowed(crowd), 50)
		is.Equal(allowed(func() bool { return b.allowReads(stateReads) }), 250)
		time.Sleep(time.Second)
		is.Equal(allowed(crowd), 25)
		is.True(b.allowCancellation())
	})
}

// allowed returns how often allow returns true before it returns false.
func allowed(allow func() bool) int {
	count := 0
	for allow() {
		count++
	}
	return count
}

// TestNoRatesNoBudget guards against requests that are refused where the rates of the store are not known.
func TestNoRatesNoBudget(t *testing.T) {
	is := is.New(t)
	b := newCallBudget(StoreRates{}, func() int { return 1 })
	is.True(b.allowSubmission("ordinary"))
	is.True(b.allowReads(1000))
}

// TestCancellationsHaveTheirOwnPart guards against a queue whose name keeps its callers, or all others, from cancelling.
func TestCancellationsHaveTheirOwnPart(t *testing.T) {
	is := is.New(t)
	b := newCallBudget(StoreRates{Writes: 400, Reads: 2000}, func() int { return 1 })
	is.True(allowed(func() bool { return b.allowSubmission("cancellations") }) > 0)
	is.True(b.allowCancellation())
}
