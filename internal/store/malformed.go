package store

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// ReportMalformed logs and counts a record that its reader leaves out because it can't be used. reader names the reader
// in the metric clementine_malformed_records_total.
func ReportMalformed(logger *log.Logger, reader, key string, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf("clementine_malformed_records_total{reader=%q}", reader)).Inc()
	logger.Error("record left out", "reader", reader, "key", key, "error", err)
}
