package operator

import (
	"context"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Tasks is the controller's side of the operators' calls about tasks. Methods return *Error or
// *ErrNotOwner; other errors are reported as internal, except those of the context.
type Tasks interface {
	// Submit commits a task; the same requestID and spec again return the same task.
	Submit(ctx context.Context, requestID string, spec task.Spec) (task.Record, error)
	// Cancel commits the cancellation of a task.
	Cancel(ctx context.Context, requestID, taskID string) (task.Record, error)
	Get(ctx context.Context, taskID string) (task.Record, error)
	// List returns at most limit tasks of the region in the order of their ids, those after the id.
	List(ctx context.Context, filter Filter, after string, limit int) ([]task.Record, error)
	// Explain returns the recent decisions about a task, oldest first.
	Explain(taskID string) []Decision
	// Watch sends the current record and each later one; a slow receiver may miss all but the latest.
	// The channel is closed when the context ends or when this entry no longer owns the shard.
	Watch(ctx context.Context, taskID string) (<-chan task.Record, error)
}

// Filter selects tasks; zero fields select all.
type Filter struct {
	Team   string
	State  task.State
	Worker string
	Kind   task.Kind
}

// Decision is one decision about a task.
type Decision struct {
	At     time.Time
	Action string
	Worker string
	Reason string
	// Filtered counts the workers that each filter reason excluded.
	Filtered []FilterCount
}

// FilterCount counts the workers that one filter reason excluded.
type FilterCount struct {
	Reason  string
	Workers int
}

// Configuration is the configuration follower's side of the operators' calls.
type Configuration interface {
	// Document returns the highest known document, which is immutable, or nil.
	Document() *configuration.Document
	// ConfirmationAge returns the time since the last confirming store read began.
	ConfirmationAge() (time.Duration, bool)
	// Change commits a changed document. mutate receives a copy of the current document, with the
	// current revision, and may run several times. Its errors are returned as they are. The same
	// requestID again returns the same revision.
	Change(ctx context.Context, requestID, author, summary string,
		mutate func(*configuration.Document) error) (uint64, error)
}

// Fleet is what this entry knows of workers and peers.
type Fleet interface {
	Views() []WorkerView
	// PeerRevisions returns the highest revision heard from each connected peer entry.
	PeerRevisions() map[string]uint64
}

// WorkerView is what this entry knows of one worker.
type WorkerView struct {
	Name, Zone, Rack string
	Capacity, Free   resource.Quantity
	// Revision is the highest configuration revision that the worker's agent reported.
	Revision                              uint64
	Connected, Leaving, Lost, Quarantined bool
	Targets                               []wire.TargetState
	Tasks                                 []wire.TaskStatus
}

// Entries is the membership of the region's entries and the ownership of shards.
type Entries interface {
	// Entries returns the registered entries.
	Entries() []wire.EntryAddress
	// TaskOwner returns the entry that owns the task's shard, as last known.
	TaskOwner(taskID string) (entry string, ok bool)
	// Shards returns the shards that the entry owns, as last known.
	Shards(entry string) []uint32
}
