package agent

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape of the latency histograms: about 20 KB each, with an error of 1%.
const (
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 2
	// latencyWindowLength is the time that a target's reported latency covers at least; it covers at
	// most twice that.
	latencyWindowLength = 5 * time.Second
)

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// recordLatency adds a latency, capped at the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	// The value is within the range, so the histogram cannot refuse it.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// latencyWindow is the recent latency of one target.
type latencyWindow struct {
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// newLatencyWindow returns an empty window.
func newLatencyWindow(now time.Time) *latencyWindow {
	return &latencyWindow{current: newHistogram(), previous: newHistogram(), rotatedAt: now}
}

// record adds a latency.
func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.rotate(now)
	recordLatency(w.current, latency)
}

// p99 returns the p99 latency in microseconds, or zero if there were no requests.
func (w *latencyWindow) p99(now time.Time) int64 {
	w.rotate(now)
	return max(w.current.ValueAtQuantile(99), w.previous.ValueAtQuantile(99))
}

// rotate drops what is older than two window lengths.
func (w *latencyWindow) rotate(now time.Time) {
	if now.Sub(w.rotatedAt) < latencyWindowLength {
		return
	}
	if now.Sub(w.rotatedAt) >= 2*latencyWindowLength {
		w.current.Reset()
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.rotatedAt = now
}

// serviceLatency is the latency of the local targets of one service.
type serviceLatency struct {
	// report covers the time since the last usage report, control the time since the last decision of
	// the local control loop.
	report, control *hdrhistogram.Histogram
	controlSince    time.Time
}

// newServiceLatency returns an empty record.
func newServiceLatency(now time.Time) *serviceLatency {
	return &serviceLatency{report: newHistogram(), control: newHistogram(), controlSince: now}
}

// record adds a latency.
func (s *serviceLatency) record(latency time.Duration) {
	recordLatency(s.report, latency)
	recordLatency(s.control, latency)
}
