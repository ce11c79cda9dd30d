// Package throttle decides how batch tasks are held back while latency-critical requests on the same
// worker are slow. It is pure: times are passed in. It is not safe for concurrent use.
package throttle

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Shares of processors, in thousandths.
const (
	// FullShare is the share of a task that is not throttled.
	FullShare = 1000
	// MinShare is the lowest share. Below it a task holds its memory without making progress, and
	// evicting it does more for its neighbours.
	MinShare = 200
	// reductionPermille is what remains of the share after one reduction.
	reductionPermille = 650
	// increase is what one restoration gives back.
	increase = 100
)

// Timing of the control loop.
const (
	// settleTime is the time between two reductions. Latency reacts to a reduction only after the
	// requests in progress have ended.
	settleTime = 2 * time.Second
	// calmTime is how long latency must meet its objective before a restoration.
	calmTime = 10 * time.Second
	// restoreInterval is the time between two restorations.
	restoreInterval = 5 * time.Second
	// evictionInterval is the time between two evictions.
	evictionInterval = 10 * time.Second
)

// MinRequests is the number of requests below which a p99 latency says nothing.
const MinRequests = 20

// Sample is the latency of one local service over the last control window.
type Sample struct {
	Service   string
	Requests  int64
	P99       time.Duration
	Objective time.Duration
}

// suffers reports whether the sample shows a latency above its objective.
func (s Sample) suffers() bool {
	return s.Objective > 0 && s.Requests >= MinRequests && s.P99 > s.Objective
}

// Batch is one running batch task.
type Batch struct {
	TaskID  string
	Attempt uint32
	// MilliCPU is the processor time that the task uses, in thousandths of a core.
	MilliCPU int64
}

// Decision is the result of one step.
type Decision struct {
	// Share is the share of every batch task, in thousandths.
	Share int
	// Changed says that Share differs from that of the last step.
	Changed bool
	// Evict names the task to evict, or is nil.
	Evict *Batch
	// Reason explains a change or an eviction.
	Reason string
}

// Policy holds the state of the control loop. The zero value is not valid; use New.
type Policy struct {
	share      int
	sufferedAt time.Time
	changedAt  time.Time
	evictedAt  time.Time
}

// New returns the policy of a worker on which nothing is throttled.
func New() *Policy { return &Policy{share: FullShare} }

// Share returns the current share of batch tasks, in thousandths.
func (p *Policy) Share() int { return p.share }

// Step decides from the samples of one control window and the running batch tasks.
func (p *Policy) Step(now time.Time, samples []Sample, tasks []Batch) Decision {
	if worst, ok := worstSample(samples); ok {
		p.sufferedAt = now
		return p.reduce(now, worst, tasks)
	}
	return p.restore(now)
}

// reduce lowers the share, or evicts the largest task if the share is at its minimum.
func (p *Policy) reduce(now time.Time, worst Sample, tasks []Batch) Decision {
	if len(tasks) == 0 || now.Sub(p.changedAt) < settleTime {
		return Decision{Share: p.share}
	}
	reason := fmt.Sprintf("p99 of %s is %v, objective %v", worst.Service, worst.P99, worst.Objective)
	if p.share > MinShare {
		p.share = max(p.share*reductionPermille/FullShare, MinShare)
		p.changedAt = now
		return Decision{Share: p.share, Changed: true, Reason: reason}
	}
	if now.Sub(p.evictedAt) < evictionInterval {
		return Decision{Share: p.share}
	}
	p.evictedAt, p.changedAt = now, now
	offender := largest(tasks)
	return Decision{Share: p.share, Evict: &offender, Reason: reason + " at the lowest share"}
}

// restore raises the share slowly after a calm time.
func (p *Policy) restore(now time.Time) Decision {
	if p.share >= FullShare || now.Sub(p.sufferedAt) < calmTime || now.Sub(p.changedAt) < restoreInterval {
		return Decision{Share: p.share}
	}
	p.share = min(p.share+increase, FullShare)
	p.changedAt = now
	return Decision{Share: p.share, Changed: true, Reason: "latency meets its objectives"}
}

// worstSample returns the sample that exceeds its objective by the largest factor.
func worstSample(samples []Sample) (Sample, bool) {
	var worst Sample
	found := false
	for _, sample := range samples {
		if !sample.suffers() {
			continue
		}
		if !found || excess(sample) > excess(worst) {
			worst, found = sample, true
		}
	}
	return worst, found
}

// excess returns the ratio of latency to objective.
func excess(s Sample) float64 { return float64(s.P99) / float64(s.Objective) }

// largest returns the task that uses the most processor time; the lower task id wins a tie.
func largest(tasks []Batch) Batch {
	return slices.MaxFunc(tasks, func(a, b Batch) int {
		if order := cmp.Compare(a.MilliCPU, b.MilliCPU); order != 0 {
			return order
		}
		return cmp.Compare(b.TaskID, a.TaskID)
	})
}
