package backlog

import (
	"maps"
	"slices"
)

const (
	// limitDivisor makes the limit a quarter of the memory of the process, beside a quarter for incoming connections.
	limitDivisor = 4
	// cancellationDivisor makes the part for cancellations without a job an eighth of the limit.
	cancellationDivisor = 8
	// reopenPercent is the percentage of its bound below which a closed queue opens again, so that it doesn't close and open
	// with each job.
	reopenPercent = 90
)

// Limit is the memory that stored jobs may need in the coordinator, in bytes. Zero is no limit.
type Limit int64

// DeriveLimit returns the limit of a process with a memory limit in bytes; zero means that the limit is not known.
func DeriveLimit(memoryBytes int64) Limit { return Limit(memoryBytes / limitDivisor) }

// Min returns the smaller of two limits. A limit of zero doesn't count.
func (l Limit) Min(other Limit) Limit {
	if l == 0 || other > 0 && other < l {
		return other
	}
	return l
}

// Decide returns which queues are closed, given those that were. A queue may hold as much as all of them leave free: one
// queue can thus take half of the limit, and there is always room left for the others.
func (l Limit) Decide(usage *Usage, former State) State {
	if l == 0 {
		return State{}
	}
	free := max(0, int64(l)-usage.total)
	if former.Empty() && usage.total <= free && usage.cancellations <= int64(l)/cancellationDivisor {
		return State{}
	}
	var next State
	for _, queue := range slices.Sorted(maps.Keys(usage.queues)) {
		if exceeds(usage.queues[queue], free, former.IsClosed(queue)) {
			next.Queues = append(next.Queues, queue)
		}
	}
	next.Cancellations = exceeds(usage.cancellations, int64(l)/cancellationDivisor, former.Cancellations)
	return next
}

// exceeds reports whether held bytes are above the bound. If they were before, they still are down to reopenPercent of it.
func exceeds(held, bound int64, before bool) bool {
	if before {
		bound = bound / 100 * reopenPercent
	}
	return held > bound
}
