package agent

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the latency histograms. Each takes about 20 KB and has an error of 1%.
const (
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 2
	// latencyWindowLength is the minimum period that a target's reported latency covers. The period is
	// at most twice as long.
	latencyWindowLength = 5 * time.Second
)

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

// recordLatency adds a latency, clamped to the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// latencyWindow holds the latencies of one target over the last one to two window lengths.
type latencyWindow struct {
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// newLatencyWindow returns an empty window that begins at the given time.
func newLatencyWindow(now time.Time) *latencyWindow {
	return &latencyWindow{current: newHistogram(), previous: newHistogram(), rotatedAt: now}
}

// record adds a latency to the current histogram.
func (w *latencyWindow) record(now time.Time, latency time.Duration) {
	w.rotate(now)
	recordLatency(w.current, latency)
}

// p99 returns the higher p99 latency of the two histograms in microseconds, or zero if there were no
// requests.
func (w *latencyWindow) p99(now time.Time) int64 {
	w.rotate(now)
	return max(w.current.ValueAtQuantile(99), w.previous.ValueAtQuantile(99))
}

// rotate starts a new histogram every window length and drops latencies that are two window lengths old.
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

// serviceLatency holds the latencies of one service at the local targets.
type serviceLatency struct {
	// reportHistogram covers the time since the last usage report, control the time since the last decision of
	// the local control loop.
	reportHistogram, controlHistogram *hdrhistogram.Histogram
	controlSince                      time.Time
}

// newServiceLatency returns empty histograms; the control window begins at the given time.
func newServiceLatency(now time.Time) *serviceLatency {
	return &serviceLatency{reportHistogram: newHistogram(), controlHistogram: newHistogram(), controlSince: now}
}

// record adds a latency to both histograms.
func (s *serviceLatency) record(latency time.Duration) {
	recordLatency(s.reportHistogram, latency)
	recordLatency(s.controlHistogram, latency)
}
