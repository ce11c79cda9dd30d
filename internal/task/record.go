// Package task defines the durable record of a task and its permitted state transitions.
package task

import (
	"slices"
	"time"

	"clementineflow/internal/resource"
)

// Kind says how a task ends and how it is restarted.
type Kind uint8

// Task kinds.
const (
	// KindBatch is a batch job: it runs to completion once.
	KindBatch Kind = iota + 1
	// KindWatch is a long-running watch: it is restarted until it is cancelled.
	KindWatch
	// KindService is one replica of a latency-critical service: it is restarted until removed.
	KindService
)

// Priority orders tasks that wait for the same resources; a higher value goes first.
type Priority uint8

// Task priorities.
const (
	PriorityLow Priority = iota + 1
	PriorityNormal
	PriorityUrgent
)

// State is the state of a task.
type State uint8

// Task states. Finished, Failed, Cancelled, Unknown and Quarantined are final until an operator acts.
const (
	// StatePending waits for an assignment.
	StatePending State = iota + 1
	// StateAssigned has a committed assignment; the worker has not confirmed the start.
	StateAssigned
	// StateRunning runs on the assigned worker.
	StateRunning
	// StateEvicting was asked to checkpoint and stop so that it can resume elsewhere.
	StateEvicting
	// StateCancelling was asked to stop for good.
	StateCancelling
	// StateFinished ended with success.
	StateFinished
	// StateFailed ended with an error that is not retried.
	StateFailed
	// StateCancelled was stopped by an operator.
	StateCancelled
	// StateUnknown is non-idempotent, had started, and its worker was lost; it is not run again.
	StateUnknown
	// StateQuarantined failed on several distinct workers and is set aside with its failures.
	StateQuarantined
)

// Spec is what an operator asked for; it does not change after submission.
type Spec struct {
	Name string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	Team string `cbor:"3,keyasint"`
	// Class groups tasks that interfere with their neighbours alike, such as "bend-plan".
	Class    string            `cbor:"4,keyasint"`
	Priority Priority          `cbor:"5,keyasint"`
	Size     resource.Quantity `cbor:"6,keyasint"`
	// ExpectedRunTime is the declared run time; zero if unknown.
	ExpectedRunTime time.Duration `cbor:"7,keyasint,omitempty"`
	// NonIdempotent forbids a second run after a start whose outcome is unknown.
	NonIdempotent bool `cbor:"8,keyasint,omitempty"`
	// Zones lists the availability zones that may hold the task; empty means any.
	Zones []string `cbor:"9,keyasint,omitempty"`
	// SpreadGroup names tasks that are spread over racks and zones; empty means none.
	SpreadGroup string `cbor:"10,keyasint,omitempty"`
	// Payload is passed to the worker runtime unread.
	Payload []byte `cbor:"11,keyasint,omitempty"`
	// Service names the service of which this task is a replica, for KindService.
	Service string `cbor:"12,keyasint,omitempty"`
}

// Failure records one failed attempt.
type Failure struct {
	Worker  string    `cbor:"1,keyasint"`
	Attempt uint32    `cbor:"2,keyasint"`
	Reason  string    `cbor:"3,keyasint"`
	At      time.Time `cbor:"4,keyasint"`
}

// Session identifies one attachment of an agent to a worker runtime. A Start that names another
// session than the current one is refused.
type Session struct {
	// BootID is drawn by the worker runtime when it starts.
	BootID string `cbor:"1,keyasint"`
	// Number grows by one with each attachment.
	Number uint64 `cbor:"2,keyasint"`
}

// Record is the durable state of one task, kept in the shard that owns it.
type Record struct {
	ID    string `cbor:"1,keyasint"`
	Spec  Spec   `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	// Attempt numbers the runs of the task from 1; it grows with each assignment.
	Attempt uint32 `cbor:"4,keyasint,omitempty"`
	// Worker and Session hold the assignment while State is Assigned, Running, Evicting or Cancelling.
	Worker  string  `cbor:"5,keyasint,omitempty"`
	Session Session `cbor:"6,keyasint,omitempty"`
	// Checkpoint is the runtime's reference to the last checkpoint; empty if none.
	Checkpoint string    `cbor:"7,keyasint,omitempty"`
	Failures   []Failure `cbor:"8,keyasint,omitempty"`
	CreatedAt  time.Time `cbor:"9,keyasint"`
	UpdatedAt  time.Time `cbor:"10,keyasint"`
	// RequestID is the operator's request id, so that a repeated submission has one effect.
	RequestID string `cbor:"11,keyasint,omitempty"`
	// Result is the runtime's result, at most 4 KiB.
	Result []byte `cbor:"12,keyasint,omitempty"`
	// Reason explains the last decision about the task in one line.
	Reason string `cbor:"13,keyasint,omitempty"`
	// Evictions counts how often the task was evicted.
	Evictions uint32 `cbor:"14,keyasint,omitempty"`
	// StartedAt is when the current attempt was reported as started; zero if it was not.
	StartedAt time.Time `cbor:"15,keyasint,omitempty"`
	// NotBefore is the earliest time of the next assignment; zero if there is no delay.
	NotBefore time.Time `cbor:"16,keyasint,omitempty"`
	// Restarts counts consecutive failed attempts; it sets the length of the next delay.
	Restarts uint32 `cbor:"17,keyasint,omitempty"`
	// CheckpointPermille is the progress saved by Checkpoint, in thousandths.
	CheckpointPermille int `cbor:"18,keyasint,omitempty"`
}

// Clone returns a copy whose slices that transitions append to are not shared with r.
func (r *Record) Clone() *Record {
	copied := *r
	copied.Failures = slices.Clone(r.Failures)
	return &copied
}

// HoldsWorker reports whether the record has an assignment that counts against a worker.
func (r *Record) HoldsWorker() bool {
	switch r.State {
	case StateAssigned, StateRunning, StateEvicting, StateCancelling:
		return true
	default:
		return false
	}
}

// IsFinal reports whether the task will not run again unless an operator acts.
func (r *Record) IsFinal() bool {
	switch r.State {
	case StateFinished, StateFailed, StateCancelled, StateUnknown, StateQuarantined:
		return true
	default:
		return false
	}
}
