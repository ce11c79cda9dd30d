package scheduler

import (
	"slices"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Ranks order tasks of different priority; ageing raises a task to rankUrgent at most.
const (
	rankLow = iota + 1
	rankNormal
	rankUrgent
	rankService
)

const (
	// ageStep is the waiting time after which a task rises by one rank, so that batch work is not
	// starved by a steady stream of more urgent work.
	ageStep = 5 * time.Minute
	// avoidAfterFailure is how long a watch or service replica avoids the worker of its last
	// failure. It is restarted always, so the exclusion cannot be permanent.
	avoidAfterFailure = time.Minute
)

// candidate is a task for which a worker is sought.
type candidate struct {
	record *task.Record
	class  int
	group  string
	// size is the declared size; expected is corrected by observation.
	size, expected resource.Quantity
	rank           int
	urgent         bool
	now            time.Time
}

func (c *cycle) candidate(record *task.Record) *candidate {
	spec := &record.Spec
	return &candidate{
		record: record, class: c.classes[spec.Class], group: spreadGroup(spec), size: spec.Size,
		expected: c.snapshot.Sizes.Correct(spec.Team, spec.Class, spec.Size),
		rank:     rank(record, c.snapshot.Now), urgent: mayEvict(spec), now: c.snapshot.Now,
	}
}

// spreadGroup returns the group of tasks that are spread; the replicas of a service form one.
func spreadGroup(spec *task.Spec) string {
	if spec.SpreadGroup == "" && spec.Kind == task.KindService {
		return "service/" + spec.Service
	}
	return spec.SpreadGroup
}

// mayEvict reports whether other work may be evicted to make room for the task.
func mayEvict(spec *task.Spec) bool {
	return spec.Kind == task.KindService || spec.Priority == task.PriorityUrgent
}

func rank(record *task.Record, now time.Time) int {
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
	return min(base+int(max(0, now.Sub(waitingSince(record)))/ageStep), rankUrgent)
}

// waitingSince returns since when the task waits. For a task that ran before, that is its return:
// measured from the creation, a task that was evicted for urgent work would go ahead of that work and
// take the room back.
func waitingSince(record *task.Record) time.Time {
	if record.Attempt == 0 {
		return record.CreatedAt
	}
	return record.UpdatedAt
}

// failedOn reports whether the task is not to be tried on the worker because it failed there.
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
