package planner

import (
	"math"
	"time"
)

const (
	// declaredWeight is the weight of a declared duration against the runs of its queue. Declared durations
	// are further off than the runs of one queue differ.
	declaredWeight = 0.25
	// durationRate is the smallest step towards a new duration, and trustedRuns the number of runs from
	// which on the learned duration is used.
	durationRate = 0.05
	trustedRuns  = 10
	// minDuration keeps logarithms finite.
	minDuration = time.Millisecond
)

// durationTable holds what was learned of the durations of runs, by queue.
type durationTable map[string]*durationEstimate

// durationEstimate is the logarithmic mean of the durations of a queue's runs, in seconds.
type durationEstimate struct {
	logMean float64
	runs    int
}

// note takes in the duration of a run that has done its whole task.
func (t durationTable) note(queue string, took time.Duration) {
	if t[queue] == nil {
		t[queue] = &durationEstimate{}
	}
	estimate := t[queue]
	estimate.runs++
	rate := max(durationRate, 1/float64(estimate.runs))
	estimate.logMean += rate * (logSeconds(took) - estimate.logMean)
}

// expect returns the expected duration of a task with a declared one.
func (t durationTable) expect(queue string, declared time.Duration) time.Duration {
	estimate := t[queue]
	if estimate == nil || estimate.runs < trustedRuns {
		return declared
	}
	logMean := estimate.logMean
	if declared > 0 {
		logMean = declaredWeight*logSeconds(declared) + (1-declaredWeight)*logMean
	}
	return time.Duration(math.Exp(logMean) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minDuration).Seconds()) }
