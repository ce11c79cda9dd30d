package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/contain"
	"clementineflow/internal/wait"
)

// Pauses of a mirror after a failed call. They grow, so that a store that is down is not called in a
// loop, and stay short, so that its return is noticed within a second.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
	// trustAge is how old an answer must be before the mirror continues from the revision that it named.
	trustAge = 4 * time.Second
)

// MirrorConfig holds what a Mirror depends on.
type MirrorConfig struct {
	Feed   Feed
	Prefix string
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Handle receives the changes in order. Each call, also one without events, confirms that the
	// mirror was current when the call for it was sent at the given time. The first call follows the
	// first list.
	Handle func(events []Event, sent time.Time)
	Logger *log.Logger
}

// Mirror follows all keys with a prefix and hands on each of their changes once.
type Mirror struct {
	config MirrorConfig
	known  map[string]Revision
	at     Revision
	// pending is the revision of an answer that arrived at pendingAt and is not trusted yet.
	pending   Revision
	pendingAt time.Time
	listed    bool
	healthy   bool
}

// NewMirror returns a mirror; Run drives it.
func NewMirror(config MirrorConfig) *Mirror {
	return &Mirror{config: config, known: map[string]Revision{}, healthy: true}
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	delay := firstRetryDelay
	for ctx.Err() == nil {
		err := m.step(ctx)
		if err == nil {
			delay = firstRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return
		}
		pause := delay/2 + rand.N(delay/2)
		delay = min(2*delay, maxRetryDelay)
		wait.Sleep(ctx, pause)
	}
}

// step makes one call and hands on what it returned.
func (m *Mirror) step(ctx context.Context) error {
	var err error
	sent := time.Now()
	var events []Event
	if m.listed {
		events, err = m.follow(ctx)
	} else {
		events, err = m.list(ctx)
	}
	if errors.Is(err, ErrCompacted) {
		m.config.Logger.Warn("store history is compacted, listing again", "prefix", m.config.Prefix, "after", m.at)
		m.listed = false
		return nil
	}
	m.logHealth(err)
	if err != nil {
		return err
	}
	contain.Call(m.config.Logger, "changes of "+m.config.Prefix, func() { m.config.Handle(events, sent) })
	return nil
}

// logHealth logs when the store is lost or regained.
func (m *Mirror) logHealth(err error) {
	if healthy := err == nil; healthy != m.healthy {
		m.healthy = healthy
		if healthy {
			m.config.Logger.Info("store follows again", "prefix", m.config.Prefix, "revision", m.at)
		} else {
			m.config.Logger.Warn("store lost", "prefix", m.config.Prefix, "revision", m.at, "error", err)
		}
	}
}

// follow returns the changes since the last call.
func (m *Mirror) follow(ctx context.Context) ([]Event, error) {
	changes, err := m.config.Feed.Changes(ctx, m.config.Prefix, m.at, m.config.Wait)
	if err != nil {
		return nil, err
	}
	var fresh []Event
	for _, event := range changes.Events {
		m.at = max(m.at, event.Revision)
		if event.Revision <= m.known[event.Key] {
			continue
		}
		if event.Deleted {
			delete(m.known, event.Key)
		} else {
			m.known[event.Key] = event.Revision
		}
		fresh = append(fresh, event)
	}
	m.advance(changes.At, time.Now())
	return fresh, nil
}

// advance moves on to the revision of an answer once the answer is trustAge old. A watch that has gone
// deaf still names the store's revision in its empty answers; continuing from there at once would miss
// the changes that it did not hear. Continuing from the last change instead finds the gap: the store then
// says that its history is compacted.
func (m *Mirror) advance(at Revision, now time.Time) {
	if m.pendingAt.IsZero() {
		m.pending, m.pendingAt = at, now
		return
	}
	if now.Sub(m.pendingAt) >= trustAge {
		m.at = max(m.at, m.pending)
		m.pending, m.pendingAt = at, now
	}
}

// list reads all keys and returns what differs from what was handed on before.
func (m *Mirror) list(ctx context.Context) ([]Event, error) {
	items, at, err := m.config.Feed.ListAt(ctx, m.config.Prefix)
	if err != nil {
		return nil, err
	}
	var events []Event
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		if item.Revision > m.known[item.Key] {
			m.known[item.Key] = item.Revision
			events = append(events, Event{KeyValue: item})
		}
	}
	for key := range m.known {
		if !present[key] {
			delete(m.known, key)
			events = append(events, Event{KeyValue: KeyValue{Key: key, Revision: at}, Deleted: true})
		}
	}
	m.at, m.listed = at, true
	m.pending, m.pendingAt = 0, time.Time{}
	return events, nil
}
