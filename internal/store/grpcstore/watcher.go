package grpcstore

import (
	"context"

	"github.com/pkg/errors"

	storev1 "clementineflow/api/store/v1"
	"clementineflow/internal/store"
)

// maxBufferedEvents is the number of events buffered for the consumer. When the buffer is full, the flow
// control of the connection slows the server down.
const maxBufferedEvents = 16

// watcher is one watch over a gRPC stream.
type watcher struct {
	events chan store.Event
	cancel context.CancelFunc
}

// Watch implements store.Store. The watch ends with its context, with Close, or when the connection
// breaks or is replaced; if the server cannot be reached, Next returns ErrWatchClosed.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) (store.Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	request := &storev1.WatchRequest{Prefix: prefix, AfterRevision: uint64(after)}
	stream, err := storev1.NewStoreServiceClient(c.currentConnection()).Watch(ctx, request)
	if err != nil {
		cancel()
		return nil, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	w := &watcher{events: make(chan store.Event, maxBufferedEvents), cancel: cancel}
	go w.receive(ctx, stream)
	return w, nil
}

func (w *watcher) receive(ctx context.Context, stream storev1.StoreService_WatchClient) {
	defer w.cancel()
	defer close(w.events)
	for {
		response, err := stream.Recv()
		if err != nil {
			return
		}
		event := store.Event{KeyValue: fromProto(response.GetKeyValue()), Deleted: response.GetDeleted()}
		select {
		case w.events <- event:
		case <-ctx.Done():
			return
		}
	}
}

// Next implements store.Watcher.
func (w *watcher) Next(ctx context.Context) (store.Event, error) {
	select {
	case <-ctx.Done():
		return store.Event{}, ctx.Err()
	case event, ok := <-w.events:
		if !ok {
			return store.Event{}, store.ErrWatchClosed
		}
		return event, nil
	}
}

// Close implements store.Watcher.
func (w *watcher) Close() { w.cancel() }
