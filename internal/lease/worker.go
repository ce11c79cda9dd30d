package lease

import (
	"slices"
	"time"
)

// WorkerLease is the agent's right to run tasks. The zero value holds no lease.
type WorkerLease struct {
	entries     []string
	lastBacked  time.Time
	lastByEntry map[string]time.Time
}

// SetEntries sets the region's configured entries. Acknowledgements of other entries count only if
// they are backed, since a majority of n is defined over the configured entries.
func (l *WorkerLease) SetEntries(names []string) {
	l.entries = uniqueNames(names)
}

// Acknowledge records that an entry acknowledged the heartbeat that was sent at sentAt.
func (l *WorkerLease) Acknowledge(entry string, sentAt time.Time, backed bool) {
	if backed && sentAt.After(l.lastBacked) {
		l.lastBacked = sentAt
	}
	if l.lastByEntry == nil {
		l.lastByEntry = map[string]time.Time{}
	}
	if sentAt.After(l.lastByEntry[entry]) {
		l.lastByEntry[entry] = sentAt
	}
}

// Reset drops the lease, as after a reboot of the worker runtime: entries acknowledged another boot.
func (l *WorkerLease) Reset() {
	l.lastBacked = time.Time{}
	l.lastByEntry = nil
}

// Until returns the time at which the lease ends; it is the zero time if there was no lease.
func (l *WorkerLease) Until() time.Time {
	start := l.lastBacked
	if majority := l.majorityTime(); majority.After(start) {
		start = majority
	}
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(Term)
}

// Remaining returns how long the lease is still valid; it is 0 if it has ended.
func (l *WorkerLease) Remaining(now time.Time) time.Duration {
	return max(l.Until().Sub(now), 0)
}

// Valid reports whether the lease is valid.
func (l *WorkerLease) Valid(now time.Time) bool {
	return now.Before(l.Until())
}

// majorityTime returns the latest time since which a majority of the configured entries has
// acknowledged a heartbeat, or the zero time.
func (l *WorkerLease) majorityTime() time.Time {
	times := make([]time.Time, 0, len(l.entries))
	for _, name := range l.entries {
		if at, ok := l.lastByEntry[name]; ok {
			times = append(times, at)
		}
	}
	majority := len(l.entries)/2 + 1
	if len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1]
}

// uniqueNames returns the names without repetitions, sorted. A name listed twice must not count twice
// towards a majority.
func uniqueNames(names []string) []string {
	unique := slices.Clone(names)
	slices.Sort(unique)
	return slices.Compact(unique)
}
