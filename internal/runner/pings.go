package runner

import "time"

// pingLog remembers when recent pings were sent on the current link.
type pingLog struct {
	last uint64
	sent map[uint64]time.Duration
}

// next returns the number of a ping that is sent now.
func (l *pingLog) next(now time.Duration) uint64 {
	if l.sent == nil {
		l.sent = map[uint64]time.Duration{}
	}
	l.last++
	l.sent[l.last] = now
	delete(l.sent, l.last-pingHistory)
	return l.last
}

// sentAt returns when the ping was sent, and false if it is not remembered.
func (l *pingLog) sentAt(sequence uint64) (time.Duration, bool) {
	at, ok := l.sent[sequence]
	return at, ok
}
