package replay

import (
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// workerFailed records a failed attempt and notes a change of the worker's health.
func (r *replayer) workerFailed(e *report, fact taskFact) {
	before := r.health.Status(e.worker.Name, r.now)
	r.health.RecordFailure(e.worker.Name, e.taskID, len(r.workers), r.now)
	after := r.health.Status(e.worker.Name, r.now)
	if before != after && after == scheduler.HealthQuarantined {
		r.decide("worker quarantined worker=%s task=%s reason=%q", e.worker.Name, e.taskID, e.detail)
		r.history.quarantined = append(r.history.quarantined, fact)
	}
}

// proveWorkers counts long-running tasks as successes of their workers; watches never finish.
func (r *replayer) proveWorkers() {
	for _, record := range r.records {
		if record.State == task.StateRunning && r.now.Sub(record.StartedAt) >= provenRunTime {
			r.health.RecordSuccess(record.Worker, record.StartedAt)
		}
	}
}
