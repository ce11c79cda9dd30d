package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	suspicions = newSuspicionCounters()
	// suspectReads counts the reads that submissions made before their write because the store was suspect. Concurrent
	// submissions share one.
	suspectReads = metrics.NewCounter("clementine_store_suspect_reads_total")
	// refusedUnwritten counts the submissions refused because of an error of the store, without a write that may have taken
	// effect.
	refusedUnwritten = metrics.NewCounter("clementine_submissions_refused_unwritten_total")
	// refusedWithoutRoom counts the submissions and cancellations refused because the coordinator has no room for them.
	refusedWithoutRoom = metrics.NewCounter("clementine_refused_without_room_total")
	// refusedCalls counts the requests refused because callers have caused too many calls to the store.
	refusedCalls = metrics.NewCounter("clementine_refused_store_calls_total")
	// untrustedMessages counts store calls, notices and hints of peers that have not sent the token of the entries.
	untrustedMessages = metrics.NewCounter("clementine_untrusted_messages_total")
	unknownOutcomes   = metrics.NewCounter("clementine_submissions_unknown_total")
)

func newSuspicionCounters() [suspicionReasonCount]*metrics.Counter {
	var counters [suspicionReasonCount]*metrics.Counter
	for reason := range counters {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("clementine_store_suspicions_total{reason=%q}", suspicionReason(reason)))
	}
	return counters
}
