package agent

import "github.com/VictoriaMetrics/metrics"

// metricName adds the agent's prefix to the name of a metric.
func metricName(name string) string { return "clementine_agent_" + name }

// gauges holds the agent's gauges. Its counters are created from the core's records by writeLogRecord.
type gauges struct {
	leaseValid, permitValid          *metrics.Gauge
	attempts, pending, requests      *metrics.Gauge
	links                            *metrics.Gauge
	ledgerEntries, ledgerAnswerBytes *metrics.Gauge
	freeMilliCPU, throttlePermille   *metrics.Gauge
}

// newGauges registers the gauges, or returns those that are registered already.
func newGauges() *gauges {
	return &gauges{
		leaseValid:        metrics.GetOrCreateGauge(metricName("lease_valid"), nil),
		permitValid:       metrics.GetOrCreateGauge(metricName("permit_valid"), nil),
		attempts:          metrics.GetOrCreateGauge(metricName("task_attempts"), nil),
		pending:           metrics.GetOrCreateGauge(metricName("starts_waiting"), nil),
		requests:          metrics.GetOrCreateGauge(metricName("requests_running"), nil),
		links:             metrics.GetOrCreateGauge(metricName("links_up"), nil),
		ledgerEntries:     metrics.GetOrCreateGauge(metricName("ledger_entries"), nil),
		ledgerAnswerBytes: metrics.GetOrCreateGauge(metricName("ledger_answer_bytes"), nil),
		freeMilliCPU:      metrics.GetOrCreateGauge(metricName("free_millicpu"), nil),
		throttlePermille:  metrics.GetOrCreateGauge(metricName("throttle_permille"), nil),
	}
}

// updateFromCore sets the gauges from the state of the core.
func (g *gauges) updateFromCore(c *core) {
	g.leaseValid.Set(gaugeValue(c.lease.Valid(c.now)))
	g.permitValid.Set(gaugeValue(c.permit.Valid(c.now)))
	g.attempts.Set(float64(len(c.attempts)))
	g.pending.Set(float64(len(c.pending)))
	g.requests.Set(float64(len(c.requests)))
	up := 0
	for _, l := range c.links {
		if l.up {
			up++
		}
	}
	g.links.Set(float64(up))
	g.ledgerEntries.Set(float64(c.ledger.Len()))
	g.ledgerAnswerBytes.Set(float64(c.ledger.AnswerBytes()))
	g.freeMilliCPU.Set(float64(c.table.Free().MilliCPU))
	g.throttlePermille.Set(float64(c.policy.Share()))
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// writeLogRecord logs a decision of the core and increments its counter.
func (a *Agent) writeLogRecord(r record) {
	if r.counter != "" {
		metrics.GetOrCreateCounter(metricName(r.counter)).Inc()
	}
	logger := a.config.Logger
	if logger.GetLevel() > r.level {
		return
	}
	keyvals := make([]any, 0, 2*len(r.fields))
	for _, f := range r.fields {
		keyvals = append(keyvals, f.key, f.value)
	}
	logger.Log(r.level, r.message, keyvals...)
}
