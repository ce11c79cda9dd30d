package agent

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/agent/throttle"
	"clementineflow/internal/capacity"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// controlWindow is how long the control loop collects latencies of a service with few requests.
const controlWindow = 5 * time.Second

// controlIfDue runs one step of the local control loop.
func (c *core) controlIfDue() {
	if !c.due(c.controlAt, controlInterval) {
		return
	}
	c.controlAt = c.now
	if c.document == nil || !c.attached || c.attaching || c.evacuating {
		return
	}
	decision := c.policy.Step(c.now, c.latencySamples(), c.batchTasks())
	if decision.Changed {
		c.report(log.InfoLevel, "throttle_changes_total", "set the processor share of batch tasks",
			field{"permille", strconv.Itoa(decision.Share)}, field{"reason", decision.Reason})
	}
	if decision.Evict != nil {
		c.evictOffender(*decision.Evict, decision.Reason)
	}
	c.applyShare(decision.Share)
}

// evictOffender evicts the task that the policy has chosen.
func (c *core) evictOffender(offender throttle.Batch, reason string) {
	a, ok := c.attempts[capacity.TaskKey{TaskID: offender.TaskID, Attempt: offender.Attempt}]
	if !ok {
		return
	}
	a.reason = reason
	c.end(a, attemptEvicting)
}

// applyShare tells the runtime the share of each batch task that has another one.
func (c *core) applyShare(share int) {
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.kind != task.KindBatch || a.state != attemptRunning || a.op != 0 || a.throttle == share {
			continue
		}
		a.throttle = share
		c.call(a, callThrottle)
	}
}

// latencySamples returns the latency of each local service whose window is complete.
func (c *core) latencySamples() []throttle.Sample {
	var samples []throttle.Sample
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if s.control.TotalCount() < throttle.MinRequests && !c.due(s.controlSince, controlWindow) {
			continue
		}
		service, _ := c.document.Service(name)
		samples = append(samples, throttle.Sample{
			Service:   name,
			Requests:  s.control.TotalCount(),
			P99:       time.Duration(s.control.ValueAtQuantile(99)) * time.Microsecond,
			Objective: service.LatencyObjective,
		})
		s.control.Reset()
		s.controlSince = c.now
	}
	return samples
}

// batchTasks returns the running batch tasks with what they use. A task without a usage report counts
// with its declared size.
func (c *core) batchTasks() []throttle.Batch {
	var tasks []throttle.Batch
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.kind != task.KindBatch || a.state != attemptRunning {
			continue
		}
		used := a.usage.MilliCPU
		if used == 0 {
			used = a.size.MilliCPU
		}
		tasks = append(tasks, throttle.Batch{TaskID: key.TaskID, Attempt: key.Attempt, MilliCPU: used})
	}
	return tasks
}

// reportUsageIfDue sends a usage report on every link.
func (c *core) reportUsageIfDue() {
	if !c.due(c.usageAt, usageInterval) {
		return
	}
	c.usageAt = c.now
	usage := &wire.Usage{ServiceLatencies: c.serviceLatencies()}
	for _, key := range sortedTasks(c.attempts) {
		if a := c.attempts[key]; a.holdsResources() {
			usage.Tasks = append(usage.Tasks, a.status())
			usage.AgeMillis = max(usage.AgeMillis, a.usageAge.Milliseconds())
		}
	}
	c.broadcast(usage)
}

// serviceLatencies returns the latencies since the last report and begins the next interval. Services
// without requests are left out and forgotten.
func (c *core) serviceLatencies() []wire.ServiceLatency {
	var latencies []wire.ServiceLatency
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if s.report.TotalCount() == 0 {
			delete(c.services, name)
			continue
		}
		latencies = append(latencies, wire.ServiceLatency{
			Service:   name,
			Requests:  s.report.TotalCount(),
			P50Micros: s.report.ValueAtQuantile(50),
			P99Micros: s.report.ValueAtQuantile(99),
		})
		s.report.Reset()
	}
	return latencies
}
