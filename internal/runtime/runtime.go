// Package runtime defines the interface to the platform's worker runtime, which runs the tasks.
package runtime

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

// Errors of the worker runtime.
var (
	// ErrStaleSession reports a call of a session that a later Attach has replaced.
	ErrStaleSession = errors.New("runtime: session was replaced")
	// ErrTooLate reports a call that arrived after its NotAfter; it certainly had no effect.
	ErrTooLate = errors.New("runtime: the call arrived too late")
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = errors.New("runtime: unavailable")
	// ErrOutcomeUnknown reports a call that may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("runtime: outcome unknown")
	// ErrNotFound reports a task attempt that the runtime does not hold.
	ErrNotFound = errors.New("runtime: no such task attempt")
	// ErrConflict reports a start of a task of which another attempt is still running.
	ErrConflict = errors.New("runtime: another attempt of the task is running")
)

// Phase is the runtime's view of one task attempt.
type Phase uint8

// Phases of a task attempt. An ended attempt is kept until Forget.
const (
	PhaseRunning Phase = iota + 1
	PhaseFinished
	PhaseFailed
	// PhaseStopped ended by Stop, by Evict or because its lease expired.
	PhaseStopped
)

// Status is the state of one task attempt with its last usage report.
type Status struct {
	TaskID     string            `json:"task_id"`
	Attempt    uint32            `json:"attempt"`
	Phase      Phase             `json:"phase"`
	Kind       task.Kind         `json:"kind"`
	Class      string            `json:"class"`
	Size       resource.Quantity `json:"size"`
	Usage      resource.Quantity `json:"usage"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Result     []byte            `json:"result,omitempty"`
	Reason     string            `json:"reason,omitempty"`
	// ProgressPermille is the work done, in thousandths, as far as the task reports it.
	ProgressPermille int `json:"progress_permille"`
	// ThrottlePermille is the share of its processors that the task may use, in thousandths.
	ThrottlePermille int `json:"throttle_permille"`
	// UsageAge says how old Usage is.
	UsageAge time.Duration `json:"usage_age"`
}

// Attachment is the result of Attach.
type Attachment struct {
	Session  task.Session      `json:"session"`
	Capacity resource.Quantity `json:"capacity"`
	Tasks    []Status          `json:"tasks"`
}

// StartRequest asks for the start of one task attempt.
type StartRequest struct {
	Session    task.Session      `json:"session"`
	TaskID     string            `json:"task_id"`
	Attempt    uint32            `json:"attempt"`
	Kind       task.Kind         `json:"kind"`
	Class      string            `json:"class"`
	Service    string            `json:"service,omitempty"`
	Size       resource.Quantity `json:"size"`
	Payload    []byte            `json:"payload,omitempty"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	// Lease is how long the task may run without a renewal.
	Lease time.Duration `json:"lease"`
	// NotAfter is the wall-clock time after which the runtime refuses the start with ErrTooLate. Agent
	// and runtime share the clock of the VM. It bounds a call that its sender is frozen on, since Lease
	// counts from the arrival of the call.
	NotAfter time.Time `json:"not_after"`
}

// Runtime is the worker runtime of one worker. Implementations are safe for concurrent use.
type Runtime interface {
	// Attach starts a new session; from then on calls of older sessions fail with ErrStaleSession.
	// Tasks of older sessions keep running and are listed.
	Attach(ctx context.Context) (Attachment, error)
	// Start starts a task attempt. Repeating it for a running attempt has no further effect.
	Start(ctx context.Context, request StartRequest) error
	// Renew extends the lease of every running task to the given duration from now. It fails with
	// ErrTooLate if the call arrives after notAfter.
	Renew(ctx context.Context, session task.Session, lease time.Duration, notAfter time.Time) error
	// Evict checkpoints and stops a task attempt and returns the reference to the checkpoint.
	Evict(ctx context.Context, session task.Session, taskID string, attempt uint32) (string, error)
	// Stop stops a task attempt without a checkpoint.
	Stop(ctx context.Context, session task.Session, taskID string, attempt uint32) error
	// Throttle limits a task to a share of its processors, in thousandths.
	Throttle(ctx context.Context, session task.Session, taskID string, permille int) error
	// List returns every attempt that is running or ended and not forgotten.
	List(ctx context.Context, session task.Session) ([]Status, error)
	// Forget drops an ended attempt.
	Forget(ctx context.Context, session task.Session, taskID string, attempt uint32) error
}
