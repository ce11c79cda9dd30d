package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// StoreRates are the calls that the store serves in a second for all entries together. Zero is no limit.
type StoreRates struct {
	Writes, Reads float64
}

const (
	// callerShare is the part of the store's calls that callers' requests may cause at all entries together. The rest is
	// left for leases, watches, and what the coordinator records.
	callerShare = 0.5
	// callBurstSeconds is the time for whose share of the rates calls may come at once.
	callBurstSeconds = 2
	// stateReads is the number of reads that look for the state of a job, and refreshReads that of a refresh of the
	// configuration. The reads of a cancellation are bounded with its write, so that readers can't keep others from cancelling.
	stateReads   = 2
	refreshReads = 1
)

// errTooManyCalls reports a request that is refused since callers have caused too many calls to the store.
var errTooManyCalls = errors.New("gateway: too many calls to the store")

// callBudget bounds the calls to the store that callers' requests cause at this entry: to its part of callerShare. It is
// safe for concurrent use. A nil budget has no limit.
type callBudget struct {
	rates StoreRates
	// entries returns the number of entries.
	entries func() int

	mu            sync.Mutex
	sharedBy      int
	writes, reads *rate.Limiter
}

// newCallBudget returns a budget for one of a number of entries, or nil without rates.
func newCallBudget(rates StoreRates, entries func() int) *callBudget {
	if rates.Writes <= 0 || rates.Reads <= 0 || entries == nil {
		return nil
	}
	return &callBudget{rates: rates, entries: entries}
}

// allowWrite takes a write from the budget, and reports whether there was one left.
func (b *callBudget) allowWrite() bool {
	if b == nil {
		return true
	}
	writes, _ := b.limiters()
	return writes.Allow()
}

// allowReads takes a number of reads from the budget, and reports whether so many were left.
func (b *callBudget) allowReads(count int) bool {
	if b == nil {
		return true
	}
	_, reads := b.limiters()
	return reads.AllowN(time.Now(), count)
}

// limiters returns the limiters of writes and reads for the present number of entries.
func (b *callBudget) limiters() (writes, reads *rate.Limiter) {
	sharedBy := max(1, b.entries())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sharedBy != sharedBy {
		b.sharedBy = sharedBy
		b.writes = newCallLimiter(b.rates.Writes, sharedBy)
		b.reads = newCallLimiter(b.rates.Reads, sharedBy)
	}
	return b.writes, b.reads
}

// newCallLimiter returns the limiter of one entry for a rate of the store.
func newCallLimiter(perSecond float64, entries int) *rate.Limiter {
	share := perSecond * callerShare / float64(entries)
	return rate.NewLimiter(rate.Limit(share), max(stateReads, int(share*callBurstSeconds)))
}
