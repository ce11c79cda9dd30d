package store

import (
	"context"
	"time"
)

// rewatchDelay is the wait before an ended watch is opened again. It prevents a busy loop while the store
// is down.
const rewatchDelay = 500 * time.Millisecond

// Follow calls handle for each event of a watch and reopens the watch when it ends, until ctx is done.
// Each watch starts after the revision that lastRevision returns. Events can be missed or repeated, as
// with any watch.
func Follow(ctx context.Context, s Store, prefix string, lastRevision func() Revision, handle func(Event)) {
	for ctx.Err() == nil {
		followOnce(ctx, s, prefix, lastRevision(), handle)
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// followOnce opens one watch and calls handle for each of its events until the watch ends.
func followOnce(ctx context.Context, s Store, prefix string, after Revision, handle func(Event)) {
	watcher, err := s.Watch(ctx, prefix, after)
	if err != nil {
		return
	}
	defer watcher.Close()
	for {
		event, err := watcher.Next(ctx)
		if err != nil {
			return
		}
		handle(event)
	}
}
