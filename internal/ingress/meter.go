package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// logInterval is the shortest time between two log lines about refusals of a listener. A flood causes thousands of
// refusals a second.
const logInterval = 5 * time.Second

// reason is why a connection or a request is refused.
type reason string

const (
	// reasonConns refuses a connection above the bound of the listener.
	reasonConns reason = "connections"
	// reasonMemory refuses what the budget has no memory for.
	reasonMemory reason = "memory"
	// reasonEvicted closes a connection with an incomplete request in favor of another one.
	reasonEvicted reason = "evicted"
	// reasonBody refuses a body, and reasonHeader a header, that is too long.
	reasonBody   reason = "body"
	reasonHeader reason = "header"
	// reasonSlow refuses a request that is not complete within the read timeout.
	reasonSlow reason = "slow"
	// reasonBusy refuses a long body since too many others came before it.
	reasonBusy reason = "busy"
	// reasonFrame refuses a frame that is too long, such as the first one of a peer.
	reasonFrame reason = "frame"
)

// meter counts and logs what a listener holds and refuses.
type meter struct {
	listener string
	logger   *log.Logger
	budget   *Budget
	// held and open are the bytes and the connections held now.
	held, open *metrics.Gauge

	mu sync.Mutex
	// logged is the time of the latest log line, and unlogged counts the refusals since then.
	logged   time.Time
	unlogged int
}

func newMeter(listener string, budget *Budget, logger *log.Logger) *meter {
	return &meter{
		listener: listener, logger: logger, budget: budget,
		held: metrics.GetOrCreateGauge(fmt.Sprintf("clementine_ingress_held_bytes{listener=%q}", listener), nil),
		open: metrics.GetOrCreateGauge(fmt.Sprintf("clementine_ingress_connections{listener=%q}", listener), nil),
	}
}

// refuse counts a refusal and logs at most one line in logInterval.
func (m *meter) refuse(why reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("clementine_ingress_refused_total{listener=%q,reason=%q}", m.listener, why)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlogged++
	if time.Since(m.logged) < logInterval {
		return
	}
	m.logger.Warn("refused a caller beyond the limits", "listener", m.listener, "reason", why,
		"refusals", m.unlogged, "connections", m.open.Get(), "held_bytes", m.budget.Held())
	m.logged, m.unlogged = time.Now(), 0
}
