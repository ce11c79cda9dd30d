package telemetry

import (
	"sync/atomic"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// refusalsPerSecond and refusalBurst bound the log lines about refused requests of one kind. Callers that don't conform
	// cause thousands a second.
	refusalsPerSecond = 50
	refusalBurst      = 500
	// maxLoggedInput is the length in bytes up to which text of a caller is logged.
	maxLoggedInput = 200
)

// RefusalLogger logs refused requests, and others that a caller can repeat at will, at most refusalsPerSecond. The line after skipped ones tells their number as
// "unlogged". It is safe for concurrent use.
type RefusalLogger struct {
	logger   *log.Logger
	limiter  *rate.Limiter
	unlogged atomic.Int64
}

// NewRefusalLogger returns a logger of refusals that writes to the logger.
func NewRefusalLogger(logger *log.Logger) *RefusalLogger {
	return &RefusalLogger{logger: logger, limiter: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// Warn logs a refusal with its fields.
func (r *RefusalLogger) Warn(message string, fields ...any) { r.log(log.WarnLevel, message, fields) }

// Info is Warn for a refusal that is no sign of a fault.
func (r *RefusalLogger) Info(message string, fields ...any) { r.log(log.InfoLevel, message, fields) }

func (r *RefusalLogger) log(level log.Level, message string, fields []any) {
	if !r.limiter.Allow() {
		r.unlogged.Add(1)
		return
	}
	if unlogged := r.unlogged.Swap(0); unlogged > 0 {
		fields = append(fields, "unlogged", unlogged)
	}
	r.logger.Log(level, message, fields...)
}

// Input returns text of a caller as it is to be logged: cut to maxLoggedInput.
func Input(text string) string {
	if len(text) <= maxLoggedInput {
		return text
	}
	return text[:maxLoggedInput] + "..."
}
