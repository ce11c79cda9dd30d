package store

import (
	"context"
	"time"
)

// rewatchDelay is the wait before an ended watch is opened again, so that a store that is down is not
// called in a loop.
const rewatchDelay = 500 * time.Millisecond

// Follow hands the events of a watch to handle and opens the watch again when it ends, until the
// context ends. Each watch begins after the revision that seen returns. Events can be missed or
// repeated, as for any watch.
func Follow(ctx context.Context, s Store, prefix string, seen func() Revision, handle func(Event)) {
	for ctx.Err() == nil {
		followOnce(ctx, s, prefix, seen(), handle)
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// followOnce hands the events of one watch to handle until it ends.
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
