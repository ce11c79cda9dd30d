package coordinator

import "github.com/VictoriaMetrics/metrics"

var (
	// placingSeconds is the time from when a task could be placed to its start order. firstOrderSeconds is the
	// time from when the coordinator received a job to its first start order.
	placingSeconds    = metrics.NewHistogram("clementine_task_placing_seconds")
	firstOrderSeconds = metrics.NewHistogram("clementine_job_first_order_seconds")
	commitSeconds     = metrics.NewHistogram("clementine_commit_seconds")
	commitFailures    = metrics.NewCounter("clementine_commit_failures_total")
)
