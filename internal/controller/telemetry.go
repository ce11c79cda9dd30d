package controller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"clementineflow/internal/configuration"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

var (
	startsTotal       = metrics.GetOrCreateCounter("clementine_task_starts_total")
	evictionsTotal    = metrics.GetOrCreateCounter("clementine_task_evictions_total")
	finishedTotal     = metrics.GetOrCreateCounter("clementine_tasks_finished_total")
	finishedZoneTotal = metrics.GetOrCreateCounter("clementine_tasks_finished_zone_out_of_service_total")
	failedTotal       = metrics.GetOrCreateCounter("clementine_task_failures_total")
	refusedTotal      = metrics.GetOrCreateCounter("clementine_task_refusals_total")
	lostTotal         = metrics.GetOrCreateCounter("clementine_tasks_worker_lost_total")
	droppedEvents     = metrics.GetOrCreateCounter("clementine_task_events_dropped_total")
	planSeconds       = metrics.GetOrCreateHistogram("clementine_plan_seconds")
)

var pendingCauses = []scheduler.Cause{
	scheduler.CauseNoWorker, scheduler.CauseQuota, scheduler.CauseDelayed, scheduler.CauseAwaitingEviction,
	scheduler.CauseNoConfiguration, scheduler.CauseCannotMove, scheduler.CausePaced,
}

// reportPending sets the gauges of unscheduled tasks by cause.
func reportPending(unscheduled []scheduler.Unscheduled) {
	counts := map[scheduler.Cause]int{}
	for _, entry := range unscheduled {
		counts[entry.Cause]++
	}
	for _, cause := range pendingCauses {
		name := fmt.Sprintf("clementine_tasks_unscheduled{reason=%q}", cause)
		metrics.GetOrCreateGauge(name, nil).Set(float64(counts[cause]))
	}
}

// reportStart records the time from the submission to the first start.
func reportStart(record *task.Record, now time.Time) {
	startsTotal.Inc()
	if record.Attempt != 1 {
		return
	}
	name := fmt.Sprintf("clementine_task_time_to_start_seconds{priority=%q}", record.Spec.Priority)
	metrics.GetOrCreateHistogram(name).Update(now.Sub(record.CreatedAt).Seconds())
}

// reportFinish counts a finished task, separately while some zone is out of service.
func reportFinish(document *configuration.Document) {
	finishedTotal.Inc()
	if document == nil {
		return
	}
	for _, zone := range document.Zones {
		if zone.OutOfService {
			finishedZoneTotal.Inc()
			return
		}
	}
}
