package operatorconfig

import "time"

// Queue takes jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a caller's request.
	Host   string
	Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; zero comes first.
	Priority int
	// MaxAttempts is how many runs of one task may fail.
	MaxAttempts int
	// SlackFactor and Objective give the time in which a job should be done: SlackFactor times its
	// longest chain of work, and Objective more.
	SlackFactor float64
	Objective   time.Duration
	// NeedsAdvice is set if a service outside decides which workers may run the queue's steps.
	NeedsAdvice bool
}
