package planner

import (
	"math"
	"time"
)

const (
	// declaredWeight is the weight of a task's declared duration in its expected duration; the rest is the
	// weight of the queue's mean. The error of declared durations is larger than the spread within a queue.
	declaredWeight = 0.25
	// minDurationRate is the smallest weight of a new run in a queue's mean duration. The mean is used after
	// minDurationRuns runs.
	minDurationRate = 0.05
	minDurationRuns = 10
	// minDuration is a lower bound for durations that keeps their logarithms finite.
	minDuration = time.Millisecond
)

// durationTable holds the mean durations of completed runs by queue.
type durationTable map[string]*durationEstimate

// durationEstimate is the logarithmic mean of the durations of a queue's runs, in seconds.
type durationEstimate struct {
	logMean float64
	runs    int
}

// observe adds the duration of a run that completed its task without resuming from a checkpoint.
func (t durationTable) observe(queue string, took time.Duration) {
	if t[queue] == nil {
		t[queue] = &durationEstimate{}
	}
	estimate := t[queue]
	estimate.runs++
	rate := max(minDurationRate, 1/float64(estimate.runs))
	estimate.logMean += rate * (logSeconds(took) - estimate.logMean)
}

// expected returns the expected duration of a task, given its declared duration or zero if it has none.
func (t durationTable) expected(queue string, declared time.Duration) time.Duration {
	estimate := t[queue]
	if estimate == nil || estimate.runs < minDurationRuns {
		return declared
	}
	logMean := estimate.logMean
	if declared > 0 {
		logMean = declaredWeight*logSeconds(declared) + (1-declaredWeight)*logMean
	}
	return time.Duration(math.Exp(logMean) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }
