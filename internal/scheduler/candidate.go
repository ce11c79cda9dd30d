package scheduler

import (
	"slices"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Scheduling ranks; a higher rank is scheduled first. Ageing raises a task to rankUrgent at most.
const (
	rankLow = iota + 1
	rankNormal
	rankUrgent
	rankService
)

const (
	// ageingStep is the waiting time after which a task rises by one rank. It prevents a steady stream
	// of more urgent work from starving batch work.
	ageingStep = 5 * time.Minute
	// avoidAfterFailure is how long a watch or service replica avoids the worker of its last failure.
	// Such a task is always restarted, so a permanent exclusion could leave it without any worker.
	avoidAfterFailure = time.Minute
)

// candidate is a task to be placed, with the values derived from its record for this cycle.
type candidate struct {
	record *task.Record
	class  int
	group  string
	// size is the declared size; expected is the size corrected by the observed use.
	size, expected resource.Quantity
	rank           int
	mayEvict       bool
	now            time.Time
}

func (c *cycle) newCandidate(record *task.Record) *candidate {
	spec := &record.Spec
	return &candidate{
		record: record, class: c.classIndexes[spec.Class], group: spreadGroup(spec), size: spec.Size,
		expected: c.snapshot.Sizes.ExpectedUse(spec.Team, spec.Class, spec.Size),
		rank:     taskRank(record, c.snapshot.Now), mayEvict: mayEvictOthers(spec), now: c.snapshot.Now,
	}
}

// spreadGroup returns the name of the task's spread group, or "" if it has none. The replicas of a
// service without an explicit group form one.
func spreadGroup(spec *task.Spec) string {
	if spec.SpreadGroup == "" && spec.Kind == task.KindService {
		return "service/" + spec.Service
	}
	return spec.SpreadGroup
}

// mayEvictOthers reports whether other work may be evicted to make room for the task.
func mayEvictOthers(spec *task.Spec) bool {
	return spec.Kind == task.KindService || spec.Priority == task.PriorityUrgent
}

func taskRank(record *task.Record, now time.Time) int {
	if record.Spec.Kind == task.KindService {
		return rankService
	}
	base := rankNormal
	switch record.Spec.Priority {
	case task.PriorityLow:
		base = rankLow
	case task.PriorityUrgent:
		base = rankUrgent
	}
	return min(base+int(max(0, now.Sub(waitingSince(record)))/ageingStep), rankUrgent)
}

// waitingSince returns the time from which the task's waiting time counts. For a task that has run
// before, this is the last update of its record. Counted from the creation, a task evicted for urgent
// work could outrank that work and take the room back.
func waitingSince(record *task.Record) time.Time {
	if record.Attempt == 0 {
		return record.CreatedAt
	}
	return record.UpdatedAt
}

// failedOn reports whether the worker is excluded because the task failed there: for a batch task in
// any kept failure, for other kinds in the last one within avoidAfterFailure.
func (t *candidate) failedOn(worker string) bool {
	failures := t.record.Failures
	if len(failures) == 0 {
		return false
	}
	if t.record.Spec.Kind == task.KindBatch {
		return slices.ContainsFunc(failures, func(f task.Failure) bool { return f.Worker == worker })
	}
	last := failures[len(failures)-1]
	return last.Worker == worker && t.now.Sub(last.At) < avoidAfterFailure
}
