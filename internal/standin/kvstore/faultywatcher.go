package kvstore

import (
	"context"

	"clementineflow/internal/store"
)

// faultyWatcher is a watcher that drops or repeats events, or closes early. Next is not safe for
// concurrent use.
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
		dropped, ended, repeated := w.drawFaults()
		if ended {
			return store.Event{}, store.ErrWatchClosed
		}
		if dropped {
			continue
		}
		if repeated {
			w.repeated = &event
		}
		return event, nil
	}
}

// drawFaults chooses the faults for the next event.
func (w *faultyWatcher) drawFaults() (dropped, ended, repeated bool) {
	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()
	faults := w.owner.faults
	ended = faults.EndWatches || faults.Down
	dropped = w.owner.randomChanceLocked(faults.MissEventPercent)
	repeated = w.owner.randomChanceLocked(faults.RepeatEventPercent)
	return dropped, ended, repeated
}

// Close implements store.Watcher.
func (w *faultyWatcher) Close() {
	w.owner.mu.Lock()
	delete(w.owner.watchers, w)
	w.owner.mu.Unlock()
	w.inner.Close()
}
