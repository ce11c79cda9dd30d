package relay

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"clementineflow/internal/store"
)

// health tracks whether this entry's own path to the store works. It is safe for concurrent use.
type health struct {
	logger *log.Logger

	mu   sync.Mutex
	lost bool
}

// pathLost reports whether the latest result shows the store as unreachable.
func (h *health) pathLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// recordResult records the result of a call to the store. One that was throttled does not show whether the path works.
func (h *health) recordResult(err error) {
	if !errors.Is(err, store.ErrThrottled) {
		h.setLost(isUnreachable(err), err)
	}
}

// setLost records whether the path is lost, and logs a change with its cause.
func (h *health) setLost(lost bool, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost == lost {
		return
	}
	h.lost = lost
	if lost {
		h.logger.Warn("own path to the store is lost; relaying calls through other entries", "error", cause)
	} else {
		h.logger.Info("own path to the store works again")
	}
}

// isUnreachable reports whether the error indicates that the store may be unreachable.
func isUnreachable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrOutcomeUnknown)
}
