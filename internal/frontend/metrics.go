package frontend

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"clementineflow/internal/routing"
	"clementineflow/internal/task"
)

// Metrics of requests; the service names come from the configuration, so that the number of series is
// bounded.

func recordLatency(service string, priority task.Priority, duration time.Duration) {
	name := fmt.Sprintf(`clementine_request_duration_seconds{service=%q,priority=%q}`, service, priority)
	metrics.GetOrCreateHistogram(name).Update(duration.Seconds())
}

func countOutcome(service, outcome string, code Code) {
	name := fmt.Sprintf(`clementine_requests_total{service=%q,outcome=%q,code=%q}`, service, outcome, code)
	metrics.GetOrCreateCounter(name).Inc()
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
