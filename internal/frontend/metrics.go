package frontend

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"clementineflow/internal/routing"
	"clementineflow/internal/task"
)

// The service labels of all metrics come from the configuration, which bounds the number of series.

// latencyKey and outcomeKey identify the series that each request updates.
type (
	latencyKey struct {
		service  string
		priority task.Priority
	}
	outcomeKey struct {
		service, outcome string
		code             Code
	}
)

// requestMetrics caches the series that each request updates, since building their names takes longer
// than updating them.
type requestMetrics struct {
	latencies map[latencyKey]*metrics.Histogram
	outcomes  map[outcomeKey]*metrics.Counter
}

func newRequestMetrics() requestMetrics {
	return requestMetrics{
		latencies: make(map[latencyKey]*metrics.Histogram),
		outcomes:  make(map[outcomeKey]*metrics.Counter),
	}
}

// latency returns the histogram of the time from a request's arrival to its result.
func (m *requestMetrics) latency(service string, priority task.Priority) *metrics.Histogram {
	key := latencyKey{service: service, priority: priority}
	histogram, ok := m.latencies[key]
	if !ok {
		histogram = metrics.GetOrCreateHistogram(
			fmt.Sprintf(`clementine_request_duration_seconds{service=%q,priority=%q}`, service, priority))
		m.latencies[key] = histogram
	}
	return histogram
}

// outcome returns the counter of requests with an outcome and an error code.
func (m *requestMetrics) outcome(service, outcome string, code Code) *metrics.Counter {
	key := outcomeKey{service: service, outcome: outcome, code: code}
	counter, ok := m.outcomes[key]
	if !ok {
		counter = metrics.GetOrCreateCounter(
			fmt.Sprintf(`clementine_requests_total{service=%q,outcome=%q,code=%q}`, service, outcome, code))
		m.outcomes[key] = counter
	}
	return counter
}

func countRetry(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`clementine_request_retries_total{service=%q}`, service)).Inc()
}

func countEjection(ejection routing.Ejection) {
	name := fmt.Sprintf(`clementine_ejections_total{service=%q,cause=%q}`, ejection.Service, ejection.Cause)
	metrics.GetOrCreateCounter(name).Inc()
}

func setQueueLength(service string, priority task.Priority, length int) {
	name := fmt.Sprintf(`clementine_request_queue_length{service=%q,priority=%q}`, service, priority)
	metrics.GetOrCreateGauge(name, nil).Set(float64(length))
}
