package kvstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"clementineflow/internal/store"
)

// Limits on the memory that watches hold.
const (
	// maxHistoryEvents is the number of past events that a new watch can still receive.
	maxHistoryEvents = 256
	// maxQueuedEvents is the number of events that a slow watcher may fall behind before it is ended.
	maxQueuedEvents = 4096
)

// history holds the latest events of the store, oldest first.
type history struct {
	events []store.Event
	// dropped is the revision of the last event that is no longer held.
	dropped store.Revision
}

func (h *history) add(event store.Event) {
	h.events = append(h.events, event)
	if len(h.events) > maxHistoryEvents {
		h.dropped = h.events[0].Revision
		h.events = h.events[1:]
	}
}

// watcher is one watch on a Memory.
type watcher struct {
	prefix string
	owner  *Memory

	mu     sync.Mutex
	queue  []store.Event
	closed bool
	wake   chan struct{}
}

// Watch implements store.Store. If after is older than the events held, the watch starts with the
// current state of the keys that changed since.
func (m *Memory) Watch(_ context.Context, prefix string, after store.Revision) (store.Watcher, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &watcher{prefix: prefix, owner: m, wake: make(chan struct{}, 1)}
	for _, event := range m.since(after) {
		w.deliver(event)
	}
	m.watchers[w] = struct{}{}
	return w, nil
}

func (m *Memory) since(after store.Revision) []store.Event {
	var events []store.Event
	if after < m.history.dropped {
		for _, value := range m.keys {
			if value.Revision > after && value.Revision <= m.history.dropped {
				events = append(events, store.Event{KeyValue: value})
			}
		}
		sort.Slice(events, func(i, j int) bool { return events[i].Revision < events[j].Revision })
	}
	for _, event := range m.history.events {
		if event.Revision > after {
			events = append(events, event)
		}
	}
	return events
}

func (m *Memory) publishLocked(event store.Event) {
	m.history.add(event)
	for w := range m.watchers {
		w.deliver(event)
	}
}

func (w *watcher) deliver(event store.Event) {
	if !strings.HasPrefix(event.Key, w.prefix) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedEvents {
		w.closed = true
	} else {
		event.KeyValue = cloneKeyValue(event.KeyValue)
		w.queue = append(w.queue, event)
	}
	w.signal()
}

func (w *watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Next implements store.Watcher.
func (w *watcher) Next(ctx context.Context) (store.Event, error) {
	for {
		event, ok, closed := w.pop()
		if ok {
			return event, nil
		}
		if closed {
			return store.Event{}, store.ErrWatchClosed
		}
		select {
		case <-ctx.Done():
			return store.Event{}, ctx.Err()
		case <-w.wake:
		}
	}
}

func (w *watcher) pop() (event store.Event, ok, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return store.Event{}, false, w.closed
	}
	event = w.queue[0]
	w.queue = w.queue[1:]
	return event, true, false
}

// Close implements store.Watcher.
func (w *watcher) Close() {
	w.owner.mu.Lock()
	delete(w.owner.watchers, w)
	w.owner.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.signal()
}
