package operator

import (
	"context"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Tasks handles the task calls of the operator interface; the controller implements it. Methods
// return *Error or *ErrNotOwner. Any other error except a context error is reported to the client as
// CodeInternal.
type Tasks interface {
	// Submit commits a task. Repeating the call with the same requestID and spec returns the same task.
	Submit(ctx context.Context, requestID string, spec task.Spec) (task.Record, error)
	// Cancel commits the cancellation of a task.
	Cancel(ctx context.Context, requestID, taskID string) (task.Record, error)
	Get(ctx context.Context, taskID string) (task.Record, error)
	// List returns at most limit tasks of the region whose id is greater than after, ordered by id.
	List(ctx context.Context, filter Filter, after string, limit int) ([]task.Record, error)
	// Explain returns the recent decisions about a task, oldest first.
	Explain(taskID string) []Decision
	// Watch sends the current record and then each update. A slow receiver may miss intermediate
	// updates but always gets the latest. The channel is closed when the context ends or when this
	// entry no longer owns the shard.
	Watch(ctx context.Context, taskID string) (<-chan task.Record, error)
}

// Filter selects tasks. A field with its zero value matches every task.
type Filter struct {
	Team   string
	State  task.State
	Worker string
	Kind   task.Kind
}

// Decision records one scheduling decision about a task.
type Decision struct {
	At     time.Time
	Action string
	Worker string
	Reason string
	// Filtered holds the number of excluded workers for each filter reason.
	Filtered []FilterCount
}

// FilterCount is the number of workers that were excluded for one filter reason.
type FilterCount struct {
	Reason  string
	Workers int
}

// Configuration reads and changes the region's configuration; the configuration follower implements
// it.
type Configuration interface {
	// Document returns the document with the highest revision that this entry has received, or nil if
	// it has received none. The document must not be modified.
	Document() *configuration.Document
	// ConfirmationAge returns the time since the start of the last store read that confirmed the
	// document. It returns false if there was no such read.
	ConfirmationAge() (time.Duration, bool)
	// Change commits a changed document and returns its revision. mutate receives a copy of the
	// current document, with the current revision, and may run several times. Its errors are returned
	// unwrapped. Repeating the call with the same requestID returns the same revision.
	Change(ctx context.Context, requestID, author, summary string,
		mutate func(*configuration.Document) error) (uint64, error)
}

// Fleet provides this entry's view of the workers and of its peer entries.
type Fleet interface {
	Views() []WorkerView
	// PeerRevisions returns the highest configuration revision reported by each connected peer entry.
	PeerRevisions() map[string]uint64
}

// WorkerView is this entry's view of one worker.
type WorkerView struct {
	Name, Zone, Rack string
	Capacity, Free   resource.Quantity
	// Revision is the highest configuration revision that the worker's agent reported.
	Revision                              uint64
	Connected, Leaving, Lost, Quarantined bool
	Targets                               []wire.TargetState
	Tasks                                 []wire.TaskStatus
}

// Entries provides the membership of the region's entries and the ownership of the task shards.
type Entries interface {
	// Entries returns the registered entries.
	Entries() []wire.EntryAddress
	// TaskOwner returns the last known owner of the task's shard. ok is false if no owner is known.
	TaskOwner(taskID string) (entry string, ok bool)
	// Shards returns the shards that the entry owned in the last known assignment.
	Shards(entry string) []uint32
}
