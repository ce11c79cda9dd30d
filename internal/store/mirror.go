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

// Retry delays of a mirror after a failed call. They grow exponentially to avoid a busy loop while the
// store is down. The maximum is short so that the mirror resumes within a second of the store's recovery.
const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 500 * time.Millisecond
	// revisionHoldTime is the age at which the mirror resumes from the revision of a response; see advance.
	revisionHoldTime = 4 * time.Second
)

// MirrorConfig holds the settings and dependencies of a Mirror.
type MirrorConfig struct {
	Feed   Feed
	Prefix string
	// Wait is the long-poll time of one call for changes.
	Wait time.Duration
	// Handle receives the changes in order. sent is the time at which the store request was sent. Each
	// call, also one without events, confirms that the mirror was up to date at that time. The first
	// call comes after the first list.
	Handle func(events []Event, sent time.Time)
	Logger *log.Logger
}

// Mirror tracks all keys with a prefix and reports each of their changes once.
type Mirror struct {
	config MirrorConfig
	// revisions holds the last reported revision of each existing key.
	revisions map[string]Revision
	// resumeRevision is the revision after which the next call reads changes.
	resumeRevision Revision
	// pending is the revision of a response that arrived at pendingAt. It becomes resumeRevision after
	// revisionHoldTime.
	pending   Revision
	pendingAt time.Time
	listed    bool
	healthy   bool
}

// NewMirror returns a mirror that starts when Run is called.
func NewMirror(config MirrorConfig) *Mirror {
	return &Mirror{config: config, revisions: map[string]Revision{}, healthy: true}
}

// Run lists the prefix and polls its changes until ctx is done. It retries failed calls.
func (m *Mirror) Run(ctx context.Context) {
	delay := firstRetryDelay
	for ctx.Err() == nil {
		err := m.pollOnce(ctx)
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

// pollOnce makes one store call and passes the resulting events to Handle.
func (m *Mirror) pollOnce(ctx context.Context) error {
	var err error
	sent := time.Now()
	var events []Event
	if m.listed {
		events, err = m.readChanges(ctx)
	} else {
		events, err = m.listAll(ctx)
	}
	if errors.Is(err, ErrCompacted) {
		m.config.Logger.Warn("store history is compacted; listing all keys again", "prefix", m.config.Prefix, "after", m.resumeRevision)
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

// logHealth logs when the store becomes unreachable and when it recovers.
func (m *Mirror) logHealth(err error) {
	if healthy := err == nil; healthy != m.healthy {
		m.healthy = healthy
		if healthy {
			m.config.Logger.Info("store reachable again", "prefix", m.config.Prefix, "revision", m.resumeRevision)
		} else {
			m.config.Logger.Warn("store unreachable", "prefix", m.config.Prefix, "revision", m.resumeRevision, "error", err)
		}
	}
}

// readChanges returns the changes since the last call that were not reported before.
func (m *Mirror) readChanges(ctx context.Context) ([]Event, error) {
	changes, err := m.config.Feed.Changes(ctx, m.config.Prefix, m.resumeRevision, m.config.Wait)
	if err != nil {
		return nil, err
	}
	var unreported []Event
	for _, event := range changes.Events {
		m.resumeRevision = max(m.resumeRevision, event.Revision)
		if event.Revision <= m.revisions[event.Key] {
			continue
		}
		if event.Deleted {
			delete(m.revisions, event.Key)
		} else {
			m.revisions[event.Key] = event.Revision
		}
		unreported = append(unreported, event)
	}
	m.advance(changes.At, time.Now())
	return unreported, nil
}

// advance moves resumeRevision to the revision of a response once that response is revisionHoldTime old. A
// watch that no longer receives events still returns the store's current revision in its empty responses.
// Resuming from that revision at once would skip the changes that the watch missed. Resuming from the last
// received change detects the gap, because the store then returns ErrCompacted.
func (m *Mirror) advance(at Revision, now time.Time) {
	if m.pendingAt.IsZero() {
		m.pending, m.pendingAt = at, now
		return
	}
	if now.Sub(m.pendingAt) >= revisionHoldTime {
		m.resumeRevision = max(m.resumeRevision, m.pending)
		m.pending, m.pendingAt = at, now
	}
}

// listAll reads all keys and returns the differences from the state reported so far.
func (m *Mirror) listAll(ctx context.Context) ([]Event, error) {
	items, at, err := m.config.Feed.ListAt(ctx, m.config.Prefix)
	if err != nil {
		return nil, err
	}
	var events []Event
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		if item.Revision > m.revisions[item.Key] {
			m.revisions[item.Key] = item.Revision
			events = append(events, Event{KeyValue: item})
		}
	}
	for key := range m.revisions {
		if !present[key] {
			delete(m.revisions, key)
			events = append(events, Event{KeyValue: KeyValue{Key: key, Revision: at}, Deleted: true})
		}
	}
	m.resumeRevision, m.listed = at, true
	m.pending, m.pendingAt = 0, time.Time{}
	return events, nil
}
