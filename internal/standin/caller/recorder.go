package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram, in microseconds.
const (
	lowestLatencyMicros  = 1
	highestLatencyMicros = 120_000_000
	significantDigits    = 3
)

// recorder collects the outcomes and latencies of a run. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	histogram      *hdrhistogram.Histogram
	counts         [outcomeCount]int64
	skipped        int64
	startedAt      time.Time
	lastAnsweredAt time.Time
	longestGap     time.Duration
}

func newRecorder(now time.Time) *recorder {
	return &recorder{
		histogram:      hdrhistogram.New(lowestLatencyMicros, highestLatencyMicros, significantDigits),
		startedAt:      now,
		lastAnsweredAt: now,
	}
}

// record counts a finished request; latency and gap are recorded only for answered requests.
func (r *recorder) record(outcome Outcome, latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[outcome]++
	if outcome != OutcomeAnswered {
		return
	}
	// A latency beyond the range is recorded as the highest value.
	_ = r.histogram.RecordValue(min(latency.Microseconds(), highestLatencyMicros))
	r.longestGap = max(r.longestGap, now.Sub(r.lastAnsweredAt))
	r.lastAnsweredAt = now
}

// recordSkipped counts a request that was not sent because the limit of requests in flight was reached.
func (r *recorder) recordSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// report returns the summary at the end of a run.
func (r *recorder) report(now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sent int64
	for _, count := range r.counts {
		sent += count
	}
	return Report{
		Sent:        sent,
		Answered:    r.counts[OutcomeAnswered],
		NotRun:      r.counts[OutcomeNotRun],
		Unknown:     r.counts[OutcomeUnknown],
		Transport:   r.counts[OutcomeTransport],
		WrongAnswer: r.counts[OutcomeWrongAnswer],
		PerSecond:   float64(r.counts[OutcomeAnswered]) / now.Sub(r.startedAt).Seconds(),
		P50Micros:   r.histogram.ValueAtQuantile(50),
		P99Micros:   r.histogram.ValueAtQuantile(99),
		P999Micros:  r.histogram.ValueAtQuantile(99.9),
		MaxMicros:   r.histogram.Max(),
		LongestGap:  r.longestGap,
		Skipped:     r.skipped,
	}
}
