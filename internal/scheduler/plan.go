package scheduler

import (
	"clementineflow/internal/task"
)

// Scored is one score plug-in's part of a decision, already weighted; higher is better.
type Scored struct {
	Name  string
	Value float64
}

// Assignment places a pending task.
type Assignment struct {
	TaskID  string
	Attempt uint32 // the recorded attempt before the assignment
	Worker  string
	Session task.Session
	Total   float64
	Scores  []Scored
	// Considered is the number of workers that passed every filter; RunnerUp is the second best of
	// them, empty if there was one only.
	Considered    int
	RunnerUp      string
	RunnerUpTotal float64
	Filtered      []FilterCount
}

// EvictionCause says why a task is evicted.
type EvictionCause uint8

// Causes of an eviction.
const (
	// CauseUrgent makes room for urgent work.
	CauseUrgent EvictionCause = iota + 1
	// CauseZoneLeaving moves a task out of a zone that is out of service.
	CauseZoneLeaving
)

// String returns the cause in words.
func (c EvictionCause) String() string {
	if c == CauseUrgent {
		return "room for urgent work"
	}
	return "zone out of service"
}

// Eviction takes a task from its worker.
type Eviction struct {
	TaskID  string
	Attempt uint32
	Worker  string
	Cause   EvictionCause
	// For is the urgent task that needs the room, for CauseUrgent.
	For string
	// Destination is a worker that could hold the task now, for CauseZoneLeaving.
	Destination string
	// LossPermille is the progress since the last checkpoint, in thousandths.
	LossPermille int
}

// Cause says why a task is not scheduled by this plan.
type Cause uint8

// Causes for a task that is not scheduled.
const (
	CauseNoWorker Cause = iota + 1
	CauseQuota
	CauseDelayed
	CauseAwaitingEviction
	CauseNoConfiguration
	// CauseCannotMove concerns a task in a zone out of service for which there is no other place.
	CauseCannotMove
	// CausePaced concerns a task in a zone out of service that moves later.
	CausePaced
)

var causeNames = map[Cause]string{
	CauseNoWorker: "no_worker", CauseQuota: "quota", CauseDelayed: "delayed",
	CauseAwaitingEviction: "awaiting_eviction", CauseNoConfiguration: "no_configuration",
	CauseCannotMove: "cannot_move", CausePaced: "paced",
}

// String returns the cause as a metric label.
func (c Cause) String() string { return causeNames[c] }

// FilterCount is the number of workers that a filter excluded.
type FilterCount struct {
	Reason  Reason
	Workers int
}

// Unscheduled explains why a task is not scheduled.
type Unscheduled struct {
	TaskID   string
	Cause    Cause
	Filtered []FilterCount
}

// Plan is the result of Make.
type Plan struct {
	Assignments []Assignment
	Evictions   []Eviction
	Unscheduled []Unscheduled
}
