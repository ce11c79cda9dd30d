// Package throttle implements the policy that throttles or evicts batch tasks while latency-critical
// requests on the same worker exceed their latency objective. It reads no clock and does no I/O. It is
// not safe for concurrent use.
package throttle

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Processor shares, in thousandths.
const (
	// FullShare is the share of a task that is not throttled.
	FullShare = 1000
	// MinShare is the lowest share. Below it a task occupies memory with little progress, and evicting it
	// helps the other work on the worker more.
	MinShare = 200
	// reductionFactorPermille is the factor by which a reduction multiplies the share, in thousandths.
	reductionFactorPermille = 650
	// restorationStep is the amount by which a restoration raises the share.
	restorationStep = 100
)

// Timing of the control loop.
const (
	// reductionInterval is the minimum time between a change of the share or an eviction and the next
	// reduction. Latency reacts to a reduction only after the requests in progress have ended.
	reductionInterval = 2 * time.Second
	// restorationDelay is how long all latencies must meet their objectives before a restoration.
	restorationDelay = 10 * time.Second
	// restorationInterval is the minimum time between a change of the share or an eviction and the next
	// restoration.
	restorationInterval = 5 * time.Second
	// evictionInterval is the minimum time between two evictions.
	evictionInterval = 10 * time.Second
)

// MinRequests is the minimum number of requests for a meaningful p99 latency.
const MinRequests = 20

// LatencySample is the latency of one local service over the last control window.
type LatencySample struct {
	Service   string
	Requests  int64
	P99       time.Duration
	Objective time.Duration
}

// exceedsObjective reports whether the p99 latency is above the objective. It is false for a service
// without an objective or with fewer than MinRequests requests.
func (s LatencySample) exceedsObjective() bool {
	return s.Objective > 0 && s.Requests >= MinRequests && s.P99 > s.Objective
}

// BatchTask is one running batch task.
type BatchTask struct {
	TaskID  string
	Attempt uint32
	// MilliCPU is the processor time that the task uses, in thousandths of a core.
	MilliCPU int64
}

// Decision is the result of one step.
type Decision struct {
	// Share is the share of every batch task, in thousandths.
	Share int
	// Changed reports whether Share differs from the share after the last step.
	Changed bool
	// Evict is the task to evict, or nil.
	Evict *BatchTask
	// Reason explains a change or an eviction; otherwise it is empty.
	Reason string
}

// Policy holds the state of the control loop. The zero value is invalid; use New.
type Policy struct {
	share int
	// exceededAt is when a latency was last above its objective.
	exceededAt time.Time
	// changedAt is when the share was last changed or a task evicted.
	changedAt time.Time
	evictedAt time.Time
}

// New returns a policy with a share of FullShare.
func New() *Policy { return &Policy{share: FullShare} }

// Share returns the current share of batch tasks, in thousandths.
func (p *Policy) Share() int { return p.share }

// Step returns the decision for the samples of one control window and the running batch tasks. If a
// sample exceeds its objective, the share is reduced or, at MinShare, a task is evicted; otherwise the
// share is restored gradually.
func (p *Policy) Step(now time.Time, samples []LatencySample, tasks []BatchTask) Decision {
	if worst, ok := worstSample(samples); ok {
		p.exceededAt = now
		return p.reduceShare(now, worst, tasks)
	}
	return p.restoreShare(now)
}

// reduceShare lowers the share, or evicts the largest task if the share is MinShare already.
func (p *Policy) reduceShare(now time.Time, worst LatencySample, tasks []BatchTask) Decision {
	if len(tasks) == 0 || now.Sub(p.changedAt) < reductionInterval {
		return Decision{Share: p.share}
	}
	reason := fmt.Sprintf("p99 of %s is %v, objective %v", worst.Service, worst.P99, worst.Objective)
	if p.share > MinShare {
		p.share = max(p.share*reductionFactorPermille/FullShare, MinShare)
		p.changedAt = now
		return Decision{Share: p.share, Changed: true, Reason: reason}
	}
	if now.Sub(p.evictedAt) < evictionInterval {
		return Decision{Share: p.share}
	}
	p.evictedAt, p.changedAt = now, now
	offender := largestTask(tasks)
	return Decision{Share: p.share, Evict: &offender, Reason: reason + " at the lowest share"}
}

// restoreShare raises the share by one step if restorationDelay and restorationInterval have passed.
func (p *Policy) restoreShare(now time.Time) Decision {
	if p.share >= FullShare || now.Sub(p.exceededAt) < restorationDelay || now.Sub(p.changedAt) < restorationInterval {
		return Decision{Share: p.share}
	}
	p.share = min(p.share+restorationStep, FullShare)
	p.changedAt = now
	return Decision{Share: p.share, Changed: true, Reason: "latency meets its objectives"}
}

// worstSample returns the sample that exceeds its objective by the largest factor, if any does.
func worstSample(samples []LatencySample) (LatencySample, bool) {
	var worst LatencySample
	found := false
	for _, sample := range samples {
		if !sample.exceedsObjective() {
			continue
		}
		if !found || objectiveRatio(sample) > objectiveRatio(worst) {
			worst, found = sample, true
		}
	}
	return worst, found
}

// objectiveRatio returns the ratio of the p99 latency to its objective.
func objectiveRatio(s LatencySample) float64 { return float64(s.P99) / float64(s.Objective) }

// largestTask returns the task with the highest processor usage, or the lower task id if they are equal.
func largestTask(tasks []BatchTask) BatchTask {
	return slices.MaxFunc(tasks, func(a, b BatchTask) int {
		if order := cmp.Compare(a.MilliCPU, b.MilliCPU); order != 0 {
			return order
		}
		return cmp.Compare(b.TaskID, a.TaskID)
	})
}
