package kvstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"clementineflow/internal/store"
)

// Limits on the number of events buffered for watches.
const (
	// maxHistoryEvents is the number of past events kept for new watches.
	maxHistoryEvents = 256
	// maxQueuedEvents is the queue length at which a slow watcher is closed.
	maxQueuedEvents = 4096
)

// history holds the latest events of the store.
type history struct {
	// events is ordered from oldest to newest.
	events []store.Event
	// compactedRevision is the revision of the newest event removed from events.
	compactedRevision store.Revision
}

func (h *history) add(event store.Event) {
	h.events = append(h.events, event)
	if len(h.events) > maxHistoryEvents {
		h.compactedRevision = h.events[0].Revision
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
	wakeup chan struct{}
}

// Watch implements store.Store. If the history no longer reaches back to after, the watch starts
// with the current values of the keys whose changes are missing from it; dropped deletions are not
// reported.
func (m *Memory) Watch(_ context.Context, prefix string, after store.Revision) (store.Watcher, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &watcher{prefix: prefix, owner: m, wakeup: make(chan struct{}, 1)}
	for _, event := range m.eventsSince(after) {
		w.deliver(event)
	}
	m.watchers[w] = struct{}{}
	return w, nil
}

func (m *Memory) eventsSince(after store.Revision) []store.Event {
	var events []store.Event
	if after < m.history.compactedRevision {
		for _, value := range m.keys {
			if value.Revision > after && value.Revision <= m.history.compactedRevision {
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
	case w.wakeup <- struct{}{}:
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
		case <-w.wakeup:
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
