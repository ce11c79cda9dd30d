// Package notify delivers coalesced change notifications to any number of subscribers.
package notify

import "sync"

// Broadcaster notifies its subscribers of changes. The zero value is ready for use, and it is safe
// for concurrent use.
type Broadcaster struct {
	mu          sync.Mutex
	subscribers []chan struct{}
}

// Subscribe returns a channel that holds at most one pending notification.
func (b *Broadcaster) Subscribe() <-chan struct{} {
	channel := make(chan struct{}, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers = append(b.subscribers, channel)
	return channel
}

// Notify notifies every subscriber and never blocks. A subscriber that already has a pending
// notification gets no second one.
func (b *Broadcaster) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, channel := range b.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}
