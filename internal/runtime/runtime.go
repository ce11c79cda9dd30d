// Package runtime defines the interface to the platform's worker runtime, which runs the task attempts.
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
	// ErrStaleSession reports a call with a session that a later Attach has replaced.
	ErrStaleSession = errors.New("runtime: session was replaced")
	// ErrTooLate reports a call that arrived after its NotAfter; it certainly had no effect.
	ErrTooLate = errors.New("runtime: the call arrived too late")
	// ErrUnavailable reports a call that certainly had no effect, for example because the runtime could
	// not be reached.
	ErrUnavailable = errors.New("runtime: unavailable")
	// ErrOutcomeUnknown reports a call that may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("runtime: outcome unknown")
	// ErrNotFound reports a task attempt that the runtime does not hold.
	ErrNotFound = errors.New("runtime: no such task attempt")
	// ErrConflict reports a start of a task of which another attempt is still running.
	ErrConflict = errors.New("runtime: another attempt of the task is running")
)

// Phase is the lifecycle phase of one task attempt at the runtime.
type Phase uint8

// Phases of a task attempt. The runtime keeps an ended attempt until Forget.
const (
	PhaseRunning Phase = iota + 1
	PhaseFinished
	PhaseFailed
	// PhaseStopped means that the attempt was ended by Stop, by Evict or by the expiry of its lease.
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
	// ProgressPermille is the completed part of the work as reported by the task, in thousandths.
	ProgressPermille int `json:"progress_permille"`
	// ThrottlePermille is the share of its processors that the task may use, in thousandths.
	ThrottlePermille int `json:"throttle_permille"`
	// UsageAge is the age of Usage; it is encoded in nanoseconds.
	UsageAge time.Duration `json:"usage_age"`
}

// Attachment is the result of Attach: the new session, the worker's capacity, and all attempts that are
// running or ended and not forgotten.
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
	// and runtime share the clock of the VM. It is needed because Lease counts from the arrival of the
	// call, which is late if the sender is paused while sending.
	NotAfter time.Time `json:"not_after"`
}

// Runtime is the worker runtime of one worker. Implementations are safe for concurrent use.
type Runtime interface {
	// Attach starts a new session; afterwards calls with older sessions fail with ErrStaleSession.
	// Attempts that were started in older sessions keep running and are listed.
	Attach(ctx context.Context) (Attachment, error)
	// Start starts a task attempt. It is idempotent for a running attempt. It fails with ErrConflict if
	// another attempt of the task is running, and with ErrTooLate after the request's NotAfter.
	Start(ctx context.Context, request StartRequest) error
	// Renew extends the lease of every running task to the given duration, counted from the arrival of the
	// call. It fails with ErrTooLate if the call arrives after notAfter.
	Renew(ctx context.Context, session task.Session, lease time.Duration, notAfter time.Time) error
	// Evict checkpoints and stops a task attempt and returns the reference of the checkpoint.
	Evict(ctx context.Context, session task.Session, taskID string, attempt uint32) (string, error)
	// Stop stops a task attempt without a checkpoint.
	Stop(ctx context.Context, session task.Session, taskID string, attempt uint32) error
	// Throttle limits a task to a share of its processors, in thousandths. A task with the share 0 is paused: it makes no
	// progress and does not end by itself.
	Throttle(ctx context.Context, session task.Session, taskID string, permille int) error
	// List returns all attempts that are running, or ended and not forgotten.
	List(ctx context.Context, session task.Session) ([]Status, error)
	// Forget removes an ended attempt, so that it is no longer listed.
	Forget(ctx context.Context, session task.Session, taskID string, attempt uint32) error
}
