package store_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
)

// stalledFeed returns no events while it is stalled, but still the store's newest revision.
type stalledFeed struct {
	*kvstore.Memory
	stalled atomic.Bool
}

func (f *stalledFeed) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if !f.stalled.Load() {
		return f.Memory.Changes(ctx, prefix, after, wait)
	}
	time.Sleep(wait)
	_, at, err := f.ListAt(ctx, prefix)
	return store.Changes{At: at}, err
}

// TestMirrorOfDeafWatch guards against losing a change that was made while a watch received no events. In a
// simulated day (mix --seed 112415958131 of ccr-ops) this let a task start 3.5 s after its job had been
// cancelled.
func TestMirrorOfDeafWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &stalledFeed{Memory: kvstore.NewMemory()}
		put := func(key string) {
			_, err := feed.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte("x")}}})
			is.NoErr(err)
		}
		put("in/a")
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		seen := map[string]int{}
		count := func(key string) int {
			mu.Lock()
			defer mu.Unlock()
			return seen[key]
		}
		mirror := store.NewMirror(store.MirrorConfig{
			Feed: feed, Prefix: "in/", Wait: 300 * time.Millisecond, Logger: log.New(io.Discard),
			Handle: func(events []store.Event, _ time.Time) {
				mu.Lock()
				defer mu.Unlock()
				for _, event := range events {
					seen[event.Key]++
				}
			},
		})
		done := make(chan struct{})
		go func() { mirror.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		feed.stalled.Store(true)
		time.Sleep(500 * time.Millisecond)
		put("in/b")
		time.Sleep(500 * time.Millisecond)
		feed.Compact()
		feed.stalled.Store(false)
		put("other/c")
		time.Sleep(time.Second)
		is.Equal(count("in/a"), 1)
		is.Equal(count("in/b"), 1)
		time.Sleep(20 * time.Second)
		is.Equal(count("in/a"), 1) // a list after a gap reports nothing twice
		cancel()
		<-done
	})
}

// laggingFeed lists the current keys with an older revision. A list of several pages does this when a key
// changes after its first page was read.
type laggingFeed struct {
	*kvstore.Memory
	calls atomic.Int64
}

func (l *laggingFeed) ListAt(ctx context.Context, prefix string) ([]store.KeyValue, store.Revision, error) {
	items, at, err := l.Memory.ListAt(ctx, prefix)
	return items, at - 1, err
}

func (l *laggingFeed) Changes(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Changes, error) {
	if l.calls.Add(1) > 1000 {
		time.Sleep(wait) // slows down the busy loop that the test guards against
	}
	return l.Memory.Changes(ctx, prefix, after, wait)
}

// TestMirrorGoesPastWhatItKnows guards against a busy loop of store calls. It occurred when the changes after
// a list's revision held only changes that the list already contained: the mirror requested them again at
// once until the response was old enough to resume from its revision.
func TestMirrorGoesPastWhatItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &laggingFeed{Memory: kvstore.NewMemory()}
		for _, key := range []string{"in/a", "in/b"} {
			_, err := feed.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte("x")}}})
			is.NoErr(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		mirror := store.NewMirror(store.MirrorConfig{
			Feed: feed, Prefix: "in/", Wait: time.Second, Logger: log.New(io.Discard),
			Handle: func([]store.Event, time.Time) {},
		})
		done := make(chan struct{})
		go func() { mirror.Run(ctx); close(done) }()
		time.Sleep(3500 * time.Millisecond)
		is.True(feed.calls.Load() <= 5)
		cancel()
		<-done
	})
}
