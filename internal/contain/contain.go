// Package contain recovers from panics in calls and background tasks, so that a panic neither ends the process
// nor stops a background task unnoticed.
package contain

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc/panics"

	"clementineflow/internal/wait"
)

// restartDelay is the pause before a background task is restarted after a panic.
const restartDelay = 100 * time.Millisecond

var contained = metrics.NewCounter("clementine_panics_total")

// Call runs f and reports whether it returned without a panic. A panic is recovered, counted and logged with its
// stack. what names the call in the log.
func Call(logger *log.Logger, what string, f func()) bool {
	recovered := panics.Try(f)
	if recovered == nil {
		return true
	}
	contained.Inc()
	logger.Error("panic contained", "in", what, "panic", recovered.Value, "stack", string(recovered.Stack))
	return false
}

// RunWithRestart runs the background task f and restarts it after each panic, until f returns or the context ends. what
// names the task in the log.
func RunWithRestart(ctx context.Context, logger *log.Logger, what string, f func(context.Context)) {
	for !Call(logger, what, func() { f(ctx) }) {
		if !wait.Sleep(ctx, restartDelay) {
			return
		}
	}
}
