package caller

import (
	"fmt"
	"io"
	"time"
)

// Report summarises one run. PerSecond and the latencies cover answered requests only.
type Report struct {
	Sent        int64   `json:"sent"`
	Answered    int64   `json:"answered"`
	NotRun      int64   `json:"not_run"`
	Unknown     int64   `json:"unknown"`
	Transport   int64   `json:"transport"`
	WrongAnswer int64   `json:"wrong_answer"`
	PerSecond   float64 `json:"per_second"`
	P50Micros   int64   `json:"p50_us"`
	P99Micros   int64   `json:"p99_us"`
	P999Micros  int64   `json:"p999_us"`
	MaxMicros   int64   `json:"max_us"`
	// LongestGap is the longest time without an answered request, from the start of the run to the last
	// answered request.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// Skipped counts requests of an open loop that were not sent because Concurrency requests were in flight.
	Skipped int64 `json:"skipped"`
}

// Write writes the report to w as one line of text.
func (r *Report) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w,
		"sent %d answered %d not-run %d unknown %d transport %d wrong-answer %d skipped %d, %.0f/s, "+
			"p50 %d us, p99 %d us, p99.9 %d us, max %d us, longest gap %s\n",
		r.Sent, r.Answered, r.NotRun, r.Unknown, r.Transport, r.WrongAnswer, r.Skipped, r.PerSecond,
		r.P50Micros, r.P99Micros, r.P999Micros, r.MaxMicros, r.LongestGap.Round(time.Millisecond))
	return err
}
