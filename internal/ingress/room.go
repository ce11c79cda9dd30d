package ingress

import "time"

const (
	// roomWait is how long a new connection or a request waits for room that others hold. Requests in progress mostly end
	// within it, and after it incomplete ones are old enough to be evicted.
	roomWait = evictionAge + 100*time.Millisecond
	// roomPollInterval is the time between two looks for room.
	roomPollInterval = time.Millisecond
)

// awaitRoom waits until take finds room. It makes room by closing connections with incomplete requests. It gives up once
// the listener has been full for roomWait, and at once while that lasts: what can't be served soon is refused without
// delay. Only the goroutine that accepts connections may call it.
func (l *Listener) awaitRoom(take func() bool) bool {
	for {
		if take() {
			l.fullSince = time.Time{}
			return true
		}
		if l.evictOldest() {
			continue
		}
		if l.fullSince.IsZero() {
			l.fullSince = time.Now()
		}
		if time.Since(l.fullSince) > roomWait {
			return false
		}
		time.Sleep(roomPollInterval)
	}
}

// awaitMemory takes n bytes for a request of the connection. Requests that find none wait in the order of their arrival, for
// at most roomWait.
func (c *conn) awaitMemory(n int64) bool {
	l, deadline := c.listener, time.Now().Add(roomWait)
	if len(l.turn) == 0 && c.account.tryReserve(n) {
		return true
	}
	timeout := time.NewTimer(roomWait)
	defer timeout.Stop()
	select {
	case l.turn <- struct{}{}:
	case <-timeout.C:
		l.meter.refuse(reasonMemory)
		return false
	}
	defer func() { <-l.turn }()
	for !c.account.tryReserve(n) {
		if c.closed.Load() || time.Now().After(deadline) {
			l.meter.refuse(reasonMemory)
			return false
		}
		if !l.evictOldest() {
			time.Sleep(roomPollInterval)
		}
	}
	return true
}
