package losses

import (
	"time"

	"clementineflow/internal/urgency"
)

// Job is what the logs tell of one job.
type Job struct {
	ID        string
	Queue     string
	Submitted time.Time
	// Accepted is when a coordinator first knew the job.
	Accepted time.Time
	// Ended is zero while no end was logged.
	Ended time.Time
	// State is the final state, or empty.
	State string
	// Work is the expected processor time of all tasks, and Tasks their number.
	Work  time.Duration
	Tasks int
	// Objective is the target time from submission to end, or zero if the job has none.
	Objective time.Duration
	// Failure is why a coordinator ended the job as failed, or nil.
	Failure *Failure
	// tasks holds the runs by task, in the order of their assignment.
	tasks map[string][]*run
	// latest is the run that was assigned last, or nil.
	latest *run
	// holds are the holds of workers for the job, in the order of their beginning.
	holds []hold
	// promotions counts the promotions of the job by reason.
	promotions map[PromotionReason]int
	// moves counts the decisions to move a run away from a run with a latency target.
	moves int
	// checkpointed holds the steps that are known to make checkpoints.
	checkpointed map[int]bool
}

// Failure is the decision to end a job as failed because one of its tasks has used all of its attempts.
type Failure struct {
	Task string
	// Failures is the number of failed runs of the task.
	Failures int
}

// TasksDone returns the number of tasks that were done.
func (j *Job) TasksDone() int {
	done := 0
	for task := range j.tasks {
		if !j.end(task).IsZero() {
			done++
		}
	}
	return done
}

// Result is how a job turned out.
type Result string

// Results of a job.
const (
	ResultInTime Result = "in time"
	ResultLate   Result = "late"
	// ResultOverdue is a job that ended after urgency.LateFactor times its objective.
	ResultOverdue   Result = "overdue"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
	// ResultOpen is a job whose end is not in the logs.
	ResultOpen Result = "open"
)

// Results lists all results in the order in which they are shown.
func Results() []Result {
	return []Result{ResultInTime, ResultLate, ResultOverdue, ResultFailed, ResultCancelled, ResultOpen}
}

// Result returns how the job turned out. A job without an objective that is done is in time.
func (j *Job) Result() Result {
	took := j.Ended.Sub(j.Submitted)
	switch {
	case j.Ended.IsZero() && j.Failure != nil:
		return ResultFailed // The decision is logged before it is stored.
	case j.Ended.IsZero():
		return ResultOpen
	case j.State == "failed":
		return ResultFailed
	case j.State == "cancelled":
		return ResultCancelled
	case j.Objective == 0 || took <= j.Objective:
		return ResultInTime
	case took <= urgency.LateFactor*j.Objective:
		return ResultLate
	default:
		return ResultOverdue
	}
}
