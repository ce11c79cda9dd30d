package relay

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// health is whether this entry's own path to the store works. It is safe for concurrent use.
type health struct {
	logger *log.Logger

	mu   sync.Mutex
	lost bool
}

// away reports whether the latest call to the store failed.
func (h *health) away() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// note takes in the result of a call to the store.
func (h *health) note(err error) { h.set(unreached(err), err) }

// set notes whether the store is away, and why.
func (h *health) set(lost bool, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost == lost {
		return
	}
	h.lost = lost
	if lost {
		h.logger.Warn("own path to the store is lost; calls go through other entries", "error", cause)
	} else {
		h.logger.Info("own path to the store works again")
	}
}

// unreached reports whether the error leaves open that the store can be reached.
func unreached(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown)
}
