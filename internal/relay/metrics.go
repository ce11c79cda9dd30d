package relay

import "github.com/VictoriaMetrics/metrics"

var (
	relayedCalls  = metrics.NewCounter("clementine_relayed_store_calls_total")
	relayFailures = metrics.NewCounter("clementine_relayed_store_call_failures_total")
	servedCalls   = metrics.NewCounter("clementine_store_calls_for_others_total")
	refusedCalls  = metrics.NewCounter("clementine_store_calls_for_others_refused_total")
)
