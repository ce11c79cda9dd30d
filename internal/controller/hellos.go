package controller

import (
	"maps"
	"slices"
	"sync"
)

// helloStore keeps the content of each worker's last Hello. It is stored apart from the fleet's
// views because only a Hello lists every attempt that the agent holds, and later usage reports
// change the views.
type helloStore struct {
	mu      sync.Mutex
	workers map[string]View
	// reconciled holds, per worker and shard, the last epoch in which the Hello was reconciled.
	reconciled map[reconcileKey]uint64
}

type reconcileKey struct {
	worker string
	shard  uint16
}

func newHelloStore() *helloStore {
	return &helloStore{workers: map[string]View{}, reconciled: map[reconcileKey]uint64{}}
}

// put replaces the Hello of a worker and marks it for reconciliation with every shard. It reports
// whether the worker's boot id has changed.
func (h *helloStore) put(view View) bool {
	view.Tasks = slices.Clone(view.Tasks)
	h.mu.Lock()
	defer h.mu.Unlock()
	previous, exists := h.workers[view.Name]
	h.workers[view.Name] = view
	maps.DeleteFunc(h.reconciled, func(key reconcileKey, _ uint64) bool { return key.worker == view.Name })
	return exists && previous.Session.BootID != view.Session.BootID
}

// retainWorkers removes the workers for which known returns false.
func (h *helloStore) retainWorkers(known func(worker string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.workers, func(name string, _ View) bool { return !known(name) })
	maps.DeleteFunc(h.reconciled, func(key reconcileKey, _ uint64) bool { return !known(key.worker) })
}

// unreconciled returns the Hellos that were not reconciled with the shard in the epoch.
func (h *helloStore) unreconciled(shard uint16, epoch uint64) []View {
	h.mu.Lock()
	defer h.mu.Unlock()
	var views []View
	for name, view := range h.workers {
		if h.reconciled[reconcileKey{name, shard}] != epoch {
			views = append(views, view)
		}
	}
	return views
}

// markReconciled records that a Hello was reconciled, unless a newer one has arrived.
func (h *helloStore) markReconciled(view *View, shard uint16, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.workers[view.Name]
	if current.Incarnation == view.Incarnation && current.Session == view.Session {
		h.reconciled[reconcileKey{view.Name, shard}] = epoch
	}
}
