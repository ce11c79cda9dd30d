package lease

import (
	"slices"
	"time"
)

// WorkerLease is the agent's lease to run tasks. It is valid for Term from the send time of the last
// heartbeat that a backed entry or a majority of the configured entries acknowledged. An entry is backed
// if its own registration in the store was confirmed within its TTL. The zero value holds no lease.
type WorkerLease struct {
	entries []string
	// lastBackedAt and lastAckedAt are send times of acknowledged heartbeats.
	lastBackedAt time.Time
	lastAckedAt  map[string]time.Time
}

// SetEntries sets the region's configured entries. Acknowledgements of other entries count only if they
// are backed, since the majority is taken over the configured entries.
func (l *WorkerLease) SetEntries(names []string) {
	l.entries = uniqueNames(names)
}

// Acknowledge records that an entry acknowledged the heartbeat that was sent at sentAt. An earlier sentAt
// than the last one has no effect.
func (l *WorkerLease) Acknowledge(entry string, sentAt time.Time, backed bool) {
	if backed && sentAt.After(l.lastBackedAt) {
		l.lastBackedAt = sentAt
	}
	if l.lastAckedAt == nil {
		l.lastAckedAt = map[string]time.Time{}
	}
	if sentAt.After(l.lastAckedAt[entry]) {
		l.lastAckedAt[entry] = sentAt
	}
}

// Reset ends the lease. It is called after a reboot of the worker runtime, because the entries
// acknowledged heartbeats of the earlier boot.
func (l *WorkerLease) Reset() {
	l.lastBackedAt = time.Time{}
	l.lastAckedAt = nil
}

// Until returns the time at which the lease ends or ended; zero if there was none.
func (l *WorkerLease) Until() time.Time {
	start := l.lastBackedAt
	if majority := l.majorityTime(); majority.After(start) {
		start = majority
	}
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(Term)
}

// Remaining returns how long the lease is still valid; 0 if it has ended.
func (l *WorkerLease) Remaining(now time.Time) time.Duration {
	return max(l.Until().Sub(now), 0)
}

// Valid reports whether the agent holds the lease at now; it does not at Until itself.
func (l *WorkerLease) Valid(now time.Time) bool {
	return now.Before(l.Until())
}

// majorityTime returns the latest time for which a majority of the configured entries has acknowledged a
// heartbeat sent at that time or later, or the zero time if there is none.
func (l *WorkerLease) majorityTime() time.Time {
	times := make([]time.Time, 0, len(l.entries))
	for _, name := range l.entries {
		if at, ok := l.lastAckedAt[name]; ok {
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

// uniqueNames returns the names sorted and without duplicates, so that a name listed twice does not count
// twice towards a majority.
func uniqueNames(names []string) []string {
	unique := slices.Clone(names)
	slices.Sort(unique)
	return slices.Compact(unique)
}
