package scheduler

import (
	"clementineflow/internal/task"
)

// ScorePart is the weighted contribution of one scorer to the total score of a worker; higher is better.
type ScorePart struct {
	Name  string
	Value float64
}

// Assignment assigns a pending task to a worker, with the scores that explain the choice.
type Assignment struct {
	TaskID  string
	Attempt uint32 // attempt number in the record before the assignment
	Worker  string
	Session task.Session
	Total   float64
	Scores  []ScorePart
	// Considered is the number of workers that passed every filter. RunnerUp is the second best of
	// them; empty if there was only one.
	Considered    int
	RunnerUp      string
	RunnerUpTotal float64
	Filtered      []FilterCount
}

// EvictionCause is the reason for an eviction.
type EvictionCause uint8

// Causes of an eviction.
const (
	// CauseUrgent makes room for urgent work.
	CauseUrgent EvictionCause = iota + 1
	// CauseZoneLeaving moves a task out of a zone that is out of service.
	CauseZoneLeaving
)

// String returns the cause as a phrase for reasons in task records.
func (c EvictionCause) String() string {
	if c == CauseUrgent {
		return "room for urgent work"
	}
	return "zone out of service"
}

// Eviction requests that a task checkpoints and stops on its worker.
type Eviction struct {
	TaskID  string
	Attempt uint32
	Worker  string
	Cause   EvictionCause
	// For is the id of the urgent task that needs the room, for CauseUrgent.
	For string
	// Destination is a worker that has room for the task, for CauseZoneLeaving. The task is assigned
	// by a later plan, possibly to another worker.
	Destination string
	// LossPermille is the progress since the last checkpoint, in thousandths.
	LossPermille int
}

// Cause is the reason why a plan does not assign a pending task or move a task out of its zone.
type Cause uint8

// Causes for a task that is not scheduled.
const (
	CauseNoWorker Cause = iota + 1
	CauseQuota
	CauseDelayed
	CauseAwaitingEviction
	CauseNoConfiguration
	// CauseCannotMove: the zone of the task is out of service and no other worker can take the task.
	CauseCannotMove
	// CauseDrainLimited: the zone of the task is out of service; the task moves in a later plan, because of
	// maxDrainInProgress or because another replica of its service is moving.
	CauseDrainLimited
)

var causeNames = map[Cause]string{
	CauseNoWorker: "no_worker", CauseQuota: "quota", CauseDelayed: "delayed",
	CauseAwaitingEviction: "awaiting_eviction", CauseNoConfiguration: "no_configuration",
	CauseCannotMove: "cannot_move", CauseDrainLimited: "paced",
}

// String returns the cause as a metric label.
func (c Cause) String() string { return causeNames[c] }

// FilterCount is the number of workers that a filter excluded.
type FilterCount struct {
	Reason  Reason
	Workers int
}

// Unscheduled explains why a task is not scheduled. Filtered counts the workers that filters excluded.
type Unscheduled struct {
	TaskID   string
	Cause    Cause
	Filtered []FilterCount
}

// Plan is the result of MakePlan. The caller applies it to the records; MakePlan does not change them.
type Plan struct {
	Assignments []Assignment
	Evictions   []Eviction
	Unscheduled []Unscheduled
}
