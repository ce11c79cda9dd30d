package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in milliseconds, and precision of the histograms of the time from submission to start.
const (
	lowestMillis      = 1
	highestMillis     = 600_000
	significantDigits = 3
)

// StartRecorder records task starts. It is safe for concurrent use. As an HTTP handler it serves the
// Summary as JSON; the method DELETE clears the recorded starts.
type StartRecorder struct {
	mutex          sync.Mutex
	normal, urgent *hdrhistogram.Histogram
	// perSecond holds the number of starts by Unix time in seconds.
	perSecond   map[int64]int
	first, last time.Time
}

// Summary describes the starts since the recorder was created or last cleared.
type Summary struct {
	Normal Delays `json:"normal"`
	Urgent Delays `json:"urgent"`
	// PerSecond is the mean rate from the first to the last start, PeakSecond the largest
	// number of starts in one second.
	PerSecond  float64 `json:"per_second"`
	PeakSecond int     `json:"peak_second"`
}

// Delays describes the distribution of the time from submission to start.
type Delays struct {
	Count     int64 `json:"count"`
	P50Millis int64 `json:"p50_ms"`
	P99Millis int64 `json:"p99_ms"`
	MaxMillis int64 `json:"max_ms"`
}

func newStartRecorder() *StartRecorder {
	s := &StartRecorder{}
	s.reset()
	return s
}

// reset discards the recorded starts.
func (s *StartRecorder) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.normal = hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
	s.urgent = hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
	s.perSecond = map[int64]int{}
	s.first, s.last = time.Time{}, time.Time{}
}

// recordStart adds one start at the time now.
func (s *StartRecorder) recordStart(payload Payload, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	histogram := s.normal
	if payload.Urgent {
		histogram = s.urgent
	}
	// A time outside the range is recorded as the nearest value in the range.
	_ = histogram.RecordValue(min(max(now.UnixMilli()-payload.SubmittedMillis, lowestMillis), highestMillis))
	s.perSecond[now.Unix()]++
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
}

// Summary returns the summary of the recorded starts.
func (s *StartRecorder) Summary() Summary {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	summary := Summary{Normal: summarizeDelays(s.normal), Urgent: summarizeDelays(s.urgent)}
	for _, count := range s.perSecond {
		summary.PeakSecond = max(summary.PeakSecond, count)
	}
	if seconds := s.last.Sub(s.first).Seconds(); seconds > 0 {
		summary.PerSecond = float64(summary.Normal.Count+summary.Urgent.Count) / seconds
	}
	return summary
}

func summarizeDelays(histogram *hdrhistogram.Histogram) Delays {
	return Delays{
		Count:     histogram.TotalCount(),
		P50Millis: histogram.ValueAtQuantile(50),
		P99Millis: histogram.ValueAtQuantile(99),
		MaxMillis: histogram.Max(),
	}
}

// ServeHTTP implements http.Handler. DELETE clears the recorded starts; any other method returns the
// summary.
func (s *StartRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.reset()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Summary())
}
