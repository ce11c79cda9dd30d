package losses

import (
	"slices"
	"strings"
	"time"
)

// QueueSummary sums up the jobs of one queue.
type QueueSummary struct {
	Queue   string         `json:"queue" yaml:"queue"`
	Jobs    int            `json:"jobs" yaml:"jobs"`
	Results map[Result]int `json:"results" yaml:"results"`
	// Spent is what the late and overdue jobs spent their time on.
	Spent map[Cause]time.Duration `json:"spent" yaml:"spent"`
	// Bound is what any order could have brought to its end in time.
	Bound Bound `json:"bound" yaml:"bound"`
	// Open is the work of the jobs that were accepted and have no end in the logs.
	Open OpenWork `json:"open" yaml:"open"`
	// Decisions counts what the coordinators decided about the jobs.
	Decisions Decisions `json:"decisions" yaml:"decisions"`
}

// Decisions counts decisions of the coordinators.
type Decisions struct {
	// Promoted is the number of jobs of which a task was placed out of order, by reason.
	Promoted map[PromotionReason]int `json:"promoted" yaml:"promoted"`
	// Holds is the number of times that a worker was held for a job, HoldsExpired that of those that ended unused.
	Holds        int `json:"holds" yaml:"holds"`
	HoldsExpired int `json:"holds_expired" yaml:"holds_expired"`
	// Moves is the number of decisions to move a filler away from a run with a latency target.
	Moves int `json:"moves" yaml:"moves"`
}

// OpenWork sums up jobs without an end. What was done of them has been of no use so far.
type OpenWork struct {
	Jobs      int `json:"jobs" yaml:"jobs"`
	Tasks     int `json:"tasks" yaml:"tasks"`
	TasksDone int `json:"tasks_done" yaml:"tasks_done"`
}

// Summary sums up all jobs.
type Summary struct {
	Queues []QueueSummary `json:"queues" yaml:"queues"`
	// Refusals counts the submissions that were not accepted, by reason.
	Refusals map[string]int `json:"refusals" yaml:"refusals"`
	// WithoutAcceptance is the number of jobs that began before the logs, which are left out.
	WithoutAcceptance int `json:"without_acceptance" yaml:"without_acceptance"`
}

// Summary returns the sums over all jobs, by queue in the order of their names.
func (c *Collector) Summary() Summary {
	queues := map[string]*QueueSummary{}
	for _, j := range c.order {
		q := queues[j.Queue]
		if q == nil {
			q = &QueueSummary{Queue: j.Queue, Results: map[Result]int{}, Spent: map[Cause]time.Duration{}}
			q.Decisions.Promoted = map[PromotionReason]int{}
			queues[j.Queue] = q
		}
		q.add(j)
	}
	summary := Summary{Refusals: c.refusals, WithoutAcceptance: len(c.unaccepted)}
	for _, q := range queues {
		q.Bound = c.Bound(q.Queue)
		summary.Queues = append(summary.Queues, *q)
	}
	slices.SortFunc(summary.Queues, func(x, y QueueSummary) int { return strings.Compare(x.Queue, y.Queue) })
	return summary
}

// add adds a job to the sums.
func (q *QueueSummary) add(j *Job) {
	result := j.Result()
	q.Jobs++
	q.Results[result]++
	q.Decisions.add(j)
	if result == ResultOpen {
		q.Open.Jobs++
		q.Open.Tasks += j.Tasks
		q.Open.TasksDone += j.TasksDone()
	}
	if result != ResultLate && result != ResultOverdue {
		return
	}
	for _, segment := range j.Chain() {
		q.Spent[segment.Cause] += segment.For
	}
}

// add adds the decisions about a job to the sums.
func (d *Decisions) add(j *Job) {
	for reason := range j.promotions {
		d.Promoted[reason]++
	}
	d.Moves += j.moves
	d.Holds += len(j.holds)
	for i := range j.holds {
		if j.holds[i].expired {
			d.HoldsExpired++
		}
	}
}
