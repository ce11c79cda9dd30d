package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// logInterval is the minimum time between two log lines for the start of a suspicion, so that calls that fail and succeed in
// turn do not flood the log.
const logInterval = time.Second

// StoreMonitor observes the store calls of an entry and holds whether the store is suspect. It implements
// store.Observer and is safe for concurrent use.
type StoreMonitor struct {
	logger    *log.Logger
	suspicion suspicion
	// confirm starts a read of the store, and sendHint sends a hint to the other entries. They may be nil.
	confirm, sendHint atomic.Pointer[func()]

	mu sync.Mutex
	// loggedAt is when the start of a suspicion was last logged. logged is set until its end is logged, and unlogged counts
	// the suspicions since.
	loggedAt time.Time
	logged   bool
	unlogged int
}

// NewStoreMonitor returns a monitor without a suspicion.
func NewStoreMonitor(logger *log.Logger) *StoreMonitor { return &StoreMonitor{logger: logger} }

// Answered implements store.Observer.
func (m *StoreMonitor) Answered(sent time.Time) {
	if m.suspicion.clear(sent) {
		m.logEnd()
	}
}

// Unanswered implements store.Observer.
func (m *StoreMonitor) Unanswered(watch bool, cause error) {
	reason := suspectCall
	if watch {
		reason = suspectWatch
	}
	m.raise(reason, cause)
}

// raise records a reason, and has the store read if it was not suspect before.
func (m *StoreMonitor) raise(reason suspicionReason, cause error) {
	if !m.suspicion.raise(time.Now()) {
		return
	}
	suspicions[reason].Inc()
	m.logStart(reason, cause)
	if confirm := m.confirm.Load(); confirm != nil {
		(*confirm)()
	}
}

// reportSilence sends a hint to the other entries after a read without an answer, at most one in hintInterval. A suspicion
// alone is no reason: on a link that loses packets, single calls are late while the store answers.
func (m *StoreMonitor) reportSilence() {
	if send := m.sendHint.Load(); send != nil && m.suspicion.requestHint(time.Now()) {
		(*send)()
	}
}

// logStart logs the start of a suspicion, unless one was logged within logInterval.
func (m *StoreMonitor) logStart(reason suspicionReason, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.loggedAt.IsZero() && now.Sub(m.loggedAt) < logInterval {
		m.unlogged++
		return
	}
	m.logger.Warn("store is suspect: submissions read before they write", "reason", reason, "error", cause, "unlogged", m.unlogged)
	m.loggedAt, m.logged, m.unlogged = now, true, 0
}

// logEnd logs the end of a suspicion whose start was logged.
func (m *StoreMonitor) logEnd() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logged {
		m.logger.Info("store is no longer suspect")
		m.logged = false
	}
}
