package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms of the time to a start, in milliseconds.
const (
	lowestMillis      = 1
	highestMillis     = 600_000
	significantDigits = 3
)

// Starts records task starts. It is safe for concurrent use and serves a Summary over HTTP; the
// method DELETE clears the record.
type Starts struct {
	mutex          sync.Mutex
	normal, urgent *hdrhistogram.Histogram
	// perSecond counts the starts of each second of the Unix time.
	perSecond   map[int64]int
	first, last time.Time
}

// Summary describes the starts since the record was cleared.
type Summary struct {
	Normal Delays `json:"normal"`
	Urgent Delays `json:"urgent"`
	// PerSecond is the mean rate from the first to the last start, PeakSecond the largest of one second.
	PerSecond  float64 `json:"per_second"`
	PeakSecond int     `json:"peak_second"`
}

// Delays describes the times from submission to start.
type Delays struct {
	Count     int64 `json:"count"`
	P50Millis int64 `json:"p50_ms"`
	P99Millis int64 `json:"p99_ms"`
	MaxMillis int64 `json:"max_ms"`
}

func newStarts() *Starts {
	s := &Starts{}
	s.clear()
	return s
}

// clear drops the record.
func (s *Starts) clear() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.normal = hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
	s.urgent = hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
	s.perSecond = map[int64]int{}
	s.first, s.last = time.Time{}, time.Time{}
}

// record adds one start.
func (s *Starts) record(payload Payload, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	histogram := s.normal
	if payload.Urgent {
		histogram = s.urgent
	}
	// A time beyond the range is recorded as the nearest value in it.
	_ = histogram.RecordValue(min(max(now.UnixMilli()-payload.SubmittedMillis, lowestMillis), highestMillis))
	s.perSecond[now.Unix()]++
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
}

// Summary returns the summary of the record.
func (s *Starts) Summary() Summary {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	summary := Summary{Normal: delays(s.normal), Urgent: delays(s.urgent)}
	for _, count := range s.perSecond {
		summary.PeakSecond = max(summary.PeakSecond, count)
	}
	if seconds := s.last.Sub(s.first).Seconds(); seconds > 0 {
		summary.PerSecond = float64(summary.Normal.Count+summary.Urgent.Count) / seconds
	}
	return summary
}

func delays(histogram *hdrhistogram.Histogram) Delays {
	return Delays{
		Count:     histogram.TotalCount(),
		P50Millis: histogram.ValueAtQuantile(50),
		P99Millis: histogram.ValueAtQuantile(99),
		MaxMillis: histogram.Max(),
	}
}

// ServeHTTP implements http.Handler.
func (s *Starts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.clear()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Summary())
}
