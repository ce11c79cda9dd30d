package store

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// CountMalformed counts a record that its reader skips in clementine_malformed_records_total.
func CountMalformed(reader string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("clementine_malformed_records_total{reader=%q}", reader)).Inc()
}

// ReportMalformed logs and counts a record that its reader skips because it can't be used. reader names the reader
// in the log and in the metric.
func ReportMalformed(logger *log.Logger, reader, key string, err error) {
	CountMalformed(reader)
	logger.Error("malformed record skipped", "reader", reader, "key", key, "error", err)
}
