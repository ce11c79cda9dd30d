package coordinator

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"clementineflow/internal/planner"
)

var (
	// placingSeconds is the time from when a task could be placed to its start order. firstOrderSeconds is the
	// time from when the coordinator received a job to its first start order.
	placingSeconds    = metrics.NewHistogram("clementine_task_placing_seconds")
	firstOrderSeconds = metrics.NewHistogram("clementine_job_first_order_seconds")
	commitSeconds     = metrics.NewHistogram("clementine_commit_seconds")
	commitFailures    = metrics.NewCounter("clementine_commit_failures_total")
	// yieldedFillers counts fillers that were stopped because they were throttled to 0 percent, keptFillers those that no
	// other worker took.
	yieldedFillers = metrics.NewCounter(`clementine_paused_fillers_total{decision="stopped"}`)
	keptFillers    = metrics.NewCounter(`clementine_paused_fillers_total{decision="kept"}`)
	// pressuresRestored counts pairs of images whose pressures were read from the record of an earlier term.
	pressuresRestored     = metrics.NewCounter("clementine_learned_pressures_restored_total")
	pressureWrites        = metrics.NewCounter("clementine_learned_pressures_writes_total")
	pressureWriteFailures = metrics.NewCounter("clementine_learned_pressures_write_failures_total")
	// stalledTasks is the number of long-running tasks without a run at work, by reason. It is zero while this process is
	// not the coordinator.
	stalledTasks = newStalledTasks()
	// progressPromotions and priorityPromotions count jobs that were placed out of order since they, or all jobs of their
	// priority, had waited for too long. workerHolds counts the workers that were held for such jobs, and
	// jobsOwedProgress is the number of those that wait. longRunningDeferrals counts passes in which long-running tasks came
	// after tasks that end.
	progressPromotions   = metrics.NewCounter(`clementine_promoted_jobs_total{reason="progress"}`)
	priorityPromotions   = metrics.NewCounter(`clementine_promoted_jobs_total{reason="priority"}`)
	workerHolds          = metrics.NewCounter("clementine_worker_holds_total")
	longRunningDeferrals = metrics.NewCounter("clementine_long_running_deferrals_total")
	// backlogBytes is the memory of the jobs and cancellations that the coordinator keeps, as it is estimated.
	backlogBytes     = metrics.NewGauge("clementine_backlog_bytes", nil)
	jobsOwedProgress = metrics.NewGauge("clementine_jobs_owed_progress", nil)
)

func newStalledTasks() map[planner.StallReason]*metrics.Gauge {
	gauges := map[planner.StallReason]*metrics.Gauge{}
	for _, reason := range planner.StallReasons() {
		gauges[reason] = metrics.NewGauge(fmt.Sprintf("clementine_stalled_tasks{reason=%q}", reason), nil)
	}
	return gauges
}

// setStalledTasks sets the numbers of stalled tasks.
func setStalledTasks(count func(planner.StallReason) int) {
	for reason, gauge := range stalledTasks {
		gauge.Set(float64(count(reason)))
	}
}

// clearGauges sets the gauges of the coordinator to zero.
func clearGauges() {
	setStalledTasks(func(planner.StallReason) int { return 0 })
	backlogBytes.Set(0)
	jobsOwedProgress.Set(0)
}

// countPromotions adds to the numbers of promoted jobs.
func countPromotions(promotions planner.Promotions) {
	progressPromotions.Add(promotions.Progress)
	priorityPromotions.Add(promotions.Priority)
	workerHolds.Add(promotions.HeldWorkers)
	longRunningDeferrals.Add(promotions.Deferrals)
}
