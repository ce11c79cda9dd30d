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

// maxControlWindow is how long the control loop collects the latencies of a service that has fewer than
// throttle.MinRequests requests.
const maxControlWindow = 5 * time.Second

// controlIfDue runs a step of the local control loop every controlInterval. The loop throttles or evicts
// batch tasks while services exceed their latency objectives.
func (c *core) controlIfDue() {
	if !c.due(c.lastControlAt, controlInterval) {
		return
	}
	c.lastControlAt = c.now
	if c.document == nil || !c.attached || c.attaching || c.evacuating {
		return
	}
	decision := c.policy.Step(c.now, c.latencySamples(), c.batchTasks())
	if decision.Changed {
		c.logDecision(log.InfoLevel, "throttle_changes_total", "set the processor share of batch tasks",
			field{"permille", strconv.Itoa(decision.Share)}, field{"reason", decision.Reason})
	}
	if decision.Evict != nil {
		c.evictChosenTask(*decision.Evict, decision.Reason)
	}
	c.applyShare(decision.Share)
}

// evictChosenTask evicts the task that the policy has chosen.
func (c *core) evictChosenTask(chosen throttle.BatchTask, reason string) {
	a, ok := c.attempts[capacity.TaskKey{TaskID: chosen.TaskID, Attempt: chosen.Attempt}]
	if !ok {
		return
	}
	a.reason = reason
	c.endAttempt(a, attemptEvicting)
}

// applyShare sets the processor share, in thousandths, of each running batch task that has another one.
func (c *core) applyShare(share int) {
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.kind != task.KindBatch || a.state != attemptRunning || a.callID != 0 || a.pauseSent || a.throttle == share {
			continue
		}
		a.throttle = share
		c.callAttempt(a, callThrottle)
	}
}

// latencySamples returns the latency of each local service whose control window is complete and begins
// its next window.
func (c *core) latencySamples() []throttle.LatencySample {
	var samples []throttle.LatencySample
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if s.controlHistogram.TotalCount() < throttle.MinRequests && !c.due(s.controlSince, maxControlWindow) {
			continue
		}
		service, _ := c.document.Service(name)
		samples = append(samples, throttle.LatencySample{
			Service:   name,
			Requests:  s.controlHistogram.TotalCount(),
			P99:       time.Duration(s.controlHistogram.ValueAtQuantile(99)) * time.Microsecond,
			Objective: service.LatencyObjective,
		})
		s.controlHistogram.Reset()
		s.controlSince = c.now
	}
	return samples
}

// batchTasks returns the running batch tasks with their processor usage. The declared size is used for
// a task without a usage report.
func (c *core) batchTasks() []throttle.BatchTask {
	var tasks []throttle.BatchTask
	for _, key := range sortedTasks(c.attempts) {
		a := c.attempts[key]
		if a.kind != task.KindBatch || a.state != attemptRunning {
			continue
		}
		used := a.usage.MilliCPU
		if used == 0 {
			used = a.size.MilliCPU
		}
		tasks = append(tasks, throttle.BatchTask{TaskID: key.TaskID, Attempt: key.Attempt, MilliCPU: used})
	}
	return tasks
}

// reportUsageIfDue sends a usage report on every link every usageInterval.
func (c *core) reportUsageIfDue() {
	if !c.due(c.lastUsageAt, usageInterval) {
		return
	}
	c.lastUsageAt = c.now
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
// without requests since then are dropped.
func (c *core) serviceLatencies() []wire.ServiceLatency {
	var latencies []wire.ServiceLatency
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		if s.reportHistogram.TotalCount() == 0 {
			delete(c.services, name)
			continue
		}
		latencies = append(latencies, wire.ServiceLatency{
			Service:   name,
			Requests:  s.reportHistogram.TotalCount(),
			P50Micros: s.reportHistogram.ValueAtQuantile(50),
			P99Micros: s.reportHistogram.ValueAtQuantile(99),
		})
		s.reportHistogram.Reset()
	}
	return latencies
}
