package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/operatorconfig"
	"clementineflow/internal/store"
)

// Route returns the queue for the host and path and the snapshot it was found in. Before it returns ErrNotFound,
// it refreshes a view older than maxNegativeAge. It returns ErrUnavailable before the first configuration, if the refresh
// takes longer than maxRefreshWait, and if callers have caused too many calls to the store.
func (g *Gateway) Route(ctx context.Context, host, path string) (*operatorconfig.Queue, operatorconfig.Snapshot, error) {
	snapshot := g.config.View.Snapshot()
	if snapshot.Config == nil {
		return nil, snapshot, store.ErrUnavailable
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	if time.Since(g.config.View.Confirmed()) > maxNegativeAge {
		if !g.calls.allowReads(refreshReads) {
			return nil, snapshot, g.refuseCall()
		}
		if err := g.awaitRefresh(ctx, snapshot); err != nil {
			return nil, snapshot, err
		}
		snapshot = g.config.View.Snapshot()
	}
	if queue, ok := snapshot.Config.Route(host, path); ok {
		return queue, snapshot, nil
	}
	return nil, snapshot, store.ErrNotFound
}

// awaitRefresh refreshes the view in the background and waits for that for at most maxRefreshWait.
func (g *Gateway) awaitRefresh(ctx context.Context, snapshot operatorconfig.Snapshot) error {
	done := make(chan error, 1)
	g.goBackground("refresh of the configuration", func() {
		err := errNoAnswer // the result if the call panics
		defer func() { done <- err }()
		err = g.refreshView(context.WithoutCancel(ctx), snapshot)
	})
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gateway: refresh of the configuration")
	case <-timer.C:
		return store.ErrUnavailable
	}
}

// refreshView fetches the changes of the configuration since the snapshot and applies them to the view.
func (g *Gateway) refreshView(ctx context.Context, snapshot operatorconfig.Snapshot) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	key := g.config.View.Conditions(snapshot, false)[0].Key
	changes, err := g.config.Store.Changes(call, key, snapshot.Revision, 0)
	if errors.Is(err, store.ErrCompacted) {
		item, err := g.config.Store.Get(call, key)
		if err != nil {
			return err
		}
		g.config.View.Apply([]store.Event{{KeyValue: item}}, sent)
		return nil
	}
	if err != nil {
		return err
	}
	g.config.View.Apply(changes.Events, sent)
	return nil
}
