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
	// queueShare is the part of an entry's writes that the submissions to one queue, or the cancellations, may take, so that
	// those to other queues find some left.
	queueShare = 0.5
	// maxQueueLimiters bounds the queues whose writes are counted. Queues that the operator has removed are forgotten with it.
	maxQueueLimiters = 1024
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
	// queues holds the limiters of the submissions to each queue, cancellations that of all cancellations.
	queues        map[string]*rate.Limiter
	cancellations *rate.Limiter
}

// newCallBudget returns a budget for one of a number of entries, or nil without rates.
func newCallBudget(rates StoreRates, entries func() int) *callBudget {
	if rates.Writes <= 0 || rates.Reads <= 0 || entries == nil {
		return nil
	}
	return &callBudget{rates: rates, entries: entries}
}

// allowSubmission takes the write of a submission to a queue from the budget, and reports whether there was one left.
func (b *callBudget) allowSubmission(queue string) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.followEntriesLocked()
	return b.queueLocked(queue).Allow() && b.writes.Allow()
}

// allowCancellation takes the write of a cancellation from the budget, and reports whether there was one left.
func (b *callBudget) allowCancellation() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.followEntriesLocked()
	return b.cancellations.Allow() && b.writes.Allow()
}

// allowReads takes a number of reads from the budget, and reports whether so many were left.
func (b *callBudget) allowReads(count int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.followEntriesLocked()
	return b.reads.AllowN(time.Now(), count)
}

// followEntriesLocked sets the limits for the present number of entries.
func (b *callBudget) followEntriesLocked() {
	sharedBy := max(1, b.entries())
	if b.sharedBy == sharedBy {
		return
	}
	b.sharedBy = sharedBy
	b.writes = newCallLimiter(b.rates.Writes, sharedBy)
	b.reads = newCallLimiter(b.rates.Reads, sharedBy)
	b.queues = map[string]*rate.Limiter{}
	b.cancellations = b.newQueueLimiterLocked()
}

// queueLocked returns the limiter of the submissions to a queue.
func (b *callBudget) queueLocked(queue string) *rate.Limiter {
	if limiter := b.queues[queue]; limiter != nil {
		return limiter
	}
	if len(b.queues) >= maxQueueLimiters {
		clear(b.queues)
	}
	limiter := b.newQueueLimiterLocked()
	b.queues[queue] = limiter
	return limiter
}

// newQueueLimiterLocked returns a limiter of the part of the writes that a queue, or all cancellations, may take.
func (b *callBudget) newQueueLimiterLocked() *rate.Limiter {
	return newCallLimiter(b.rates.Writes*queueShare, b.sharedBy)
}

// newCallLimiter returns the limiter of one entry for a rate of the store.
func newCallLimiter(perSecond float64, entries int) *rate.Limiter {
	share := perSecond * callerShare / float64(entries)
	return rate.NewLimiter(rate.Limit(share), max(stateReads, int(share*callBurstSeconds)))
}
