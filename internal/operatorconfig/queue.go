package operatorconfig

import "time"

// Queue is the configuration of one job queue.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a caller's request.
	Host   string
	Prefix string
	// Service names the pool of workers that run the queue's tasks.
	Service string
	// Priority orders queues; zero is the highest priority.
	Priority int
	// MaxAttempts bounds the failed runs of one task. See AttemptLimit.
	MaxAttempts int
	// SlackFactor and Objective define a job's target completion time: SlackFactor times the duration of
	// its longest chain of steps, plus Objective.
	SlackFactor float64
	Objective   time.Duration
	// NeedsPlacementAdvice is set if an external service decides which workers may run the queue's steps.
	NeedsPlacementAdvice bool
}

// AttemptLimit returns the number of failed runs of one task at which its job fails, which is at least 1.
func (q *Queue) AttemptLimit() int { return max(1, q.MaxAttempts) }
