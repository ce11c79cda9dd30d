package kvstore

import (
	"context"

	"clementineflow/internal/store"
)

// faultyWatcher is a watch that ends, misses or repeats events. Next is for one goroutine.
type faultyWatcher struct {
	inner    store.Watcher
	owner    *Faulty
	repeated *store.Event
}

// Next implements store.Watcher.
func (w *faultyWatcher) Next(ctx context.Context) (store.Event, error) {
	if w.repeated != nil {
		event := *w.repeated
		w.repeated = nil
		return event, nil
	}
	for {
		event, err := w.inner.Next(ctx)
		if err != nil {
			return store.Event{}, err
		}
		missed, ended, repeated := w.faults()
		if ended {
			return store.Event{}, store.ErrWatchClosed
		}
		if missed {
			continue
		}
		if repeated {
			w.repeated = &event
		}
		return event, nil
	}
}

func (w *faultyWatcher) faults() (missed, ended, repeated bool) {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	faults := w.owner.faults
	ended = faults.EndWatches || faults.Down
	missed = w.owner.chanceLocked(faults.MissEventPercent)
	repeated = w.owner.chanceLocked(faults.RepeatEventPercent)
	return missed, ended, repeated
}

// Close implements store.Watcher.
func (w *faultyWatcher) Close() {
	w.owner.mu.Lock()
	delete(w.owner.watchers, w)
	w.owner.mu.Unlock()
	w.inner.Close()
}
