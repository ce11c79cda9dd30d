package frontend

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"clementineflow/internal/routing"
	"clementineflow/internal/task"
)

// Metrics of requests; the service names come from the configuration, so that the number of series is
// bounded.

// latencyKey and outcomeKey name the series of the requests.
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

// requestMetrics keeps the series that each request updates, since making their names takes longer than
// updating them.
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
	held, ok := m.latencies[key]
	if !ok {
		held = metrics.GetOrCreateHistogram(
			fmt.Sprintf(`clementine_request_duration_seconds{service=%q,priority=%q}`, service, priority))
		m.latencies[key] = held
	}
	return held
}

// outcome returns the counter of an outcome.
func (m *requestMetrics) outcome(service, outcome string, code Code) *metrics.Counter {
	key := outcomeKey{service: service, outcome: outcome, code: code}
	held, ok := m.outcomes[key]
	if !ok {
		held = metrics.GetOrCreateCounter(
			fmt.Sprintf(`clementine_requests_total{service=%q,outcome=%q,code=%q}`, service, outcome, code))
		m.outcomes[key] = held
	}
	return held
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
