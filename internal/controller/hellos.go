package controller

import (
	"maps"
	"slices"
	"sync"
)

// hellos keeps the content of each worker's last Hello. Only a Hello lists every attempt that the
// agent holds; the views are changed by later usage reports.
type hellos struct {
	mu      sync.Mutex
	workers map[string]View
	// done holds the epoch per shard and worker that was reconciled last with this Hello.
	done map[helloKey]uint64
}

type helloKey struct {
	worker string
	shard  uint16
}

func newHellos() *hellos {
	return &hellos{workers: map[string]View{}, done: map[helloKey]uint64{}}
}

// put replaces the Hello of a worker, which is then reconciled again with every shard. It reports
// whether the worker has another boot than before.
func (h *hellos) put(view View) bool {
	view.Tasks = slices.Clone(view.Tasks)
	h.mu.Lock()
	defer h.mu.Unlock()
	previous, known := h.workers[view.Name]
	h.workers[view.Name] = view
	maps.DeleteFunc(h.done, func(key helloKey, _ uint64) bool { return key.worker == view.Name })
	return known && previous.Session.BootID != view.Session.BootID
}

// retain forgets workers for which known returns false.
func (h *hellos) retain(known func(worker string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.workers, func(name string, _ View) bool { return !known(name) })
	maps.DeleteFunc(h.done, func(key helloKey, _ uint64) bool { return !known(key.worker) })
}

// waiting returns the Hellos that were not reconciled with the shard in the epoch.
func (h *hellos) waiting(shard uint16, epoch uint64) []View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var views []View
	for name, view := range h.workers {
		if h.done[helloKey{name, shard}] != epoch {
			views = append(views, view)
		}
	}
	return views
}

// finish notes that a Hello was reconciled, unless a newer one has arrived.
func (h *hellos) finish(view *View, shard uint16, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.workers[view.Name]
	if known.Incarnation == view.Incarnation && known.Session == view.Session {
		h.done[helloKey{view.Name, shard}] = epoch
	}
}
