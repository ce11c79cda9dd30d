package coordinator

import "github.com/VictoriaMetrics/metrics"

var (
	commitSeconds  = metrics.NewHistogram("clementine_commit_seconds")
	commitFailures = metrics.NewCounter("clementine_commit_failures_total")
)
