package controller

import (
	"context"
	"strings"
	"time"

	"clementineflow/internal/interference"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// fullSpeedPermille is the throttle of a task that may use all its processors.
const fullSpeedPermille = 1000

// maxProgressReports bounds the memory for reports of running attempts.
const maxProgressReports = 16384

type queuedUsage struct {
	worker string
	usage  *wire.Usage
	at     time.Time
}

// progressReport is the last reported progress of an attempt.
type progressReport struct {
	attempt  uint32
	permille int
	at       time.Time
}

// Usage queues a report. It does not block: if the queue is full the report is dropped.
func (c *Controller) Usage(worker string, usage *wire.Usage) {
	at := time.Now().Add(-time.Duration(usage.AgeMillis) * time.Millisecond)
	select {
	case c.usage <- queuedUsage{worker, usage, at}:
	default:
	}
}

// usageLoop learns sizes and interference from usage reports.
func (c *Controller) usageLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-c.usage:
			c.learn(report)
		}
	}
}

func (c *Controller) learn(report queuedUsage) {
	c.knowledge.mu.Lock()
	defer c.knowledge.mu.Unlock()
	classes := map[string]int{}
	for _, status := range report.usage.Tasks {
		if status.Running {
			classes[status.Class]++
		}
	}
	for index := range report.usage.Tasks {
		status := &report.usage.Tasks[index]
		if status.Running {
			c.learnTask(report, status, classes)
		}
	}
	for _, latency := range report.usage.ServiceLatencies {
		c.learnLatency(report, latency, classes)
	}
}

func (c *Controller) learnTask(report queuedUsage, status *wire.TaskStatus, classes map[string]int) {
	if team, ok := teamOf(status.TaskID); ok {
		c.knowledge.sizes.Observe(team, status.Class, status.Size, status.Usage)
	}
	throttled := status.ThrottlePermille > 0 && status.ThrottlePermille < fullSpeedPermille
	speed, ok := c.speed(report, status)
	if !ok || throttled {
		return
	}
	c.observe(report, "task/"+status.TaskID, status.Class, speed, classes)
}

// speed returns the progress per second since the last report of the attempt.
func (c *Controller) speed(report queuedUsage, status *wire.TaskStatus) (float64, bool) {
	known := c.knowledge.progress
	last, ok := known[status.TaskID]
	if !ok && len(known) >= maxProgressReports {
		clear(known)
	}
	known[status.TaskID] = progressReport{status.Attempt, status.ProgressPermille, report.at}
	if !ok || last.attempt != status.Attempt || status.ProgressPermille <= last.permille {
		return 0, false
	}
	elapsed := report.at.Sub(last.at).Seconds()
	if elapsed <= 0 {
		return 0, false
	}
	return float64(status.ProgressPermille-last.permille) / elapsed, true
}

func (c *Controller) learnLatency(report queuedUsage, latency wire.ServiceLatency, classes map[string]int) {
	document := c.document()
	if document == nil || latency.P99Micros <= 0 || latency.Requests == 0 {
		return
	}
	service, ok := document.Service(latency.Service)
	if !ok {
		return
	}
	c.observe(report, "service/"+latency.Service, service.Class, 1/float64(latency.P99Micros), classes)
}

func (c *Controller) observe(report queuedUsage, key, class string, speed float64, classes map[string]int) {
	slowdown, ok := c.knowledge.model.Slowdown(key, speed, report.at)
	if !ok {
		return
	}
	c.knowledge.model.Observe(interference.Observation{
		Class: class, Worker: report.worker, Neighbours: without(classes, class), Slowdown: slowdown, At: report.at,
	})
}

// without returns the counts less one task of the class.
func without(classes map[string]int, class string) map[string]int {
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

// teamOf returns the team in a task id.
func teamOf(taskID string) (string, bool) {
	parts := strings.SplitN(taskID, "/", 3)
	if len(parts) != 3 || parts[0] == task.KindService.String() {
		return "", false
	}
	return parts[1], true
}
