package controller

import (
	"context"
	"strings"
	"time"

	"clementineflow/internal/interference"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// fullSpeedPermille is the throttle value of a task that is not throttled.
const fullSpeedPermille = 1000

// maxProgressReports limits the memory for progress reports. All are discarded when it is reached.
const maxProgressReports = 16384

type queuedUsage struct {
	worker string
	usage  *wire.Usage
	at     time.Time
}

// progressReport is the progress of an attempt, in permille, at the time of its last report.
type progressReport struct {
	attempt  uint32
	permille int
	at       time.Time
}

// HandleUsage queues a usage report without blocking. If the queue is full, the report is dropped.
func (c *Controller) HandleUsage(worker string, usage *wire.Usage) {
	at := time.Now().Add(-time.Duration(usage.AgeMillis) * time.Millisecond)
	select {
	case c.usage <- queuedUsage{worker, usage, at}:
	default:
	}
}

// usageLoop updates the estimates of task sizes and interference from usage reports.
func (c *Controller) usageLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-c.usage:
			c.learnFromReport(report)
		}
	}
}

func (c *Controller) learnFromReport(report queuedUsage) {
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	classes := map[string]int{}
	for _, status := range report.usage.Tasks {
		if status.Running {
			classes[status.Class]++
		}
	}
	for index := range report.usage.Tasks {
		status := &report.usage.Tasks[index]
		if status.Running {
			c.learnFromTask(report, status, classes)
		}
	}
	for _, latency := range report.usage.ServiceLatencies {
		c.learnFromLatency(report, latency, classes)
	}
}

func (c *Controller) learnFromTask(report queuedUsage, status *wire.TaskStatus, classes map[string]int) {
	if team, ok := teamOfTaskID(status.TaskID); ok {
		c.learned.sizes.Observe(team, status.Class, status.Size, status.Usage)
	}
	throttled := status.ThrottlePermille > 0 && status.ThrottlePermille < fullSpeedPermille
	speed, ok := c.progressRate(report, status)
	if !ok || throttled {
		return
	}
	c.learnSlowdown(report, "task/"+status.TaskID, status.Class, speed, classes)
}

// progressRate returns the progress in permille per second since the last report of the same attempt,
// or false if there was no progress or no earlier report.
func (c *Controller) progressRate(report queuedUsage, status *wire.TaskStatus) (float64, bool) {
	progress := c.learned.progress
	last, ok := progress[status.TaskID]
	if !ok && len(progress) >= maxProgressReports {
		clear(progress)
	}
	progress[status.TaskID] = progressReport{status.Attempt, status.ProgressPermille, report.at}
	if !ok || last.attempt != status.Attempt || status.ProgressPermille <= last.permille {
		return 0, false
	}
	elapsed := report.at.Sub(last.at).Seconds()
	if elapsed <= 0 {
		return 0, false
	}
	return float64(status.ProgressPermille-last.permille) / elapsed, true
}

func (c *Controller) learnFromLatency(report queuedUsage, latency wire.ServiceLatency, classes map[string]int) {
	document := c.document()
	if document == nil || latency.P99Micros <= 0 || latency.Requests == 0 {
		return
	}
	service, ok := document.Service(latency.Service)
	if !ok {
		return
	}
	c.learnSlowdown(report, "service/"+latency.Service, service.Class, 1/float64(latency.P99Micros), classes)
}

func (c *Controller) learnSlowdown(report queuedUsage, key, class string, speed float64, classes map[string]int) {
	slowdown, ok := c.learned.model.Slowdown(key, speed, report.at)
	if !ok {
		return
	}
	c.learned.model.Observe(interference.Observation{
		Class: class, Worker: report.worker, Neighbours: neighbourCounts(classes, class), Slowdown: slowdown, At: report.at,
	})
}

// neighbourCounts returns the number of tasks per class without one task of the given class.
func neighbourCounts(classes map[string]int, class string) map[string]int {
	others := make(map[string]int, len(classes))
	for name, count := range classes {
		if name == class {
			count--
		}
		if count > 0 {
			others[name] = count
		}
	}
	return others
}

// teamOfTaskID returns the team that is part of a batch or watch task's id. It returns false for
// service replicas and for ids of another form.
func teamOfTaskID(taskID string) (string, bool) {
	parts := strings.SplitN(taskID, "/", 3)
	if len(parts) != 3 || parts[0] == task.KindService.String() {
		return "", false
	}
	return parts[1], true
}
