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

var unscheduledCauses = []scheduler.Cause{
	scheduler.CauseNoWorker, scheduler.CauseQuota, scheduler.CauseDelayed, scheduler.CauseAwaitingEviction,
	scheduler.CauseNoConfiguration, scheduler.CauseCannotMove, scheduler.CauseDrainLimited,
}

// setUnscheduledGauges sets the number of unscheduled tasks for each cause.
func setUnscheduledGauges(unscheduled []scheduler.Unscheduled) {
	counts := map[scheduler.Cause]int{}
	for _, entry := range unscheduled {
		counts[entry.Cause]++
	}
	for _, cause := range unscheduledCauses {
		name := fmt.Sprintf("clementine_tasks_unscheduled{reason=%q}", cause)
		metrics.GetOrCreateGauge(name, nil).Set(float64(counts[cause]))
	}
}

// recordStart counts a start. For the first attempt it also records the time since the submission.
func recordStart(record *task.Record, now time.Time) {
	startsTotal.Inc()
	if record.Attempt != 1 {
		return
	}
	name := fmt.Sprintf("clementine_task_time_to_start_seconds{priority=%q}", record.Spec.Priority)
	metrics.GetOrCreateHistogram(name).Update(now.Sub(record.CreatedAt).Seconds())
}

// recordFinish counts a finished task, and counts it separately as well if any zone is out of service.
func recordFinish(document *configuration.Document) {
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
