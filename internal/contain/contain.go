// Package contain keeps a panic in one duty or one call from ending the process, or from ending the duty
// unnoticed.
package contain

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/panics"

	"clementineflow/internal/wait"
)

// restartDelay is the pause before a duty that panicked goes on.
const restartDelay = 100 * time.Millisecond

var contained = metrics.NewCounter("clementine_panics_total")

// Call runs f and reports whether it returned without a panic. A panic is counted and logged with its stack.
func Call(logger *log.Logger, what string, f func()) bool {
	recovered := panics.Try(f)
	if recovered == nil {
		return true
	}
	contained.Inc()
	logger.Error("panic contained", "in", what, "panic", recovered.Value, "stack", string(recovered.Stack))
	return false
}

// Duty runs f, and again after each panic, until f returns or the context ends.
func Duty(ctx context.Context, logger *log.Logger, what string, f func(context.Context)) {
	for !Call(logger, what, func() { f(ctx) }) {
		if !wait.Sleep(ctx, restartDelay) {
			return
		}
	}
}
