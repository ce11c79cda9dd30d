package runner

import "time"

// pingLog records when recent pings were sent on the current link.
type pingLog struct {
	last      uint64
	sentTimes map[uint64]time.Duration
}

// recordNext records a ping as sent at now and returns its sequence number.
func (l *pingLog) recordNext(now time.Duration) uint64 {
	if l.sentTimes == nil {
		l.sentTimes = map[uint64]time.Duration{}
	}
	l.last++
	l.sentTimes[l.last] = now
	delete(l.sentTimes, l.last-maxRecordedPings)
	return l.last
}

// sentAt returns when the ping was sent, and false if it is unknown or too old to be recorded.
func (l *pingLog) sentAt(sequence uint64) (time.Duration, bool) {
	at, ok := l.sentTimes[sequence]
	return at, ok
}
