package controller

import (
	"context"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Shard is a shard that this entry owns.
type Shard interface {
	ID() uint16
	Epoch() uint64
	// Snapshot returns the records of the last durable document. The map and the records must not be
	// modified.
	Snapshot() map[string]*task.Record
	// Propose commits a mutation. A nil error means that it is durable. ErrOwnershipLost,
	// ErrUnavailable and ErrShardFull guarantee that it was not applied. An error of mutate is
	// returned unchanged. mutate may be called more than once, and its input may contain changes that
	// are not durable yet. It must replace records instead of modifying them.
	Propose(ctx context.Context, mutate func(tasks map[string]*task.Record) error) error
}

// Shards gives access to the shards of the region.
type Shards interface {
	// Owned returns the shards that this entry owns.
	Owned() []Shard
	// Shard returns a shard, or false if this entry does not own it.
	Shard(id uint16) (Shard, bool)
	// Owner returns the name of the entry that owns a shard, or false if there is none.
	Owner(id uint16) (entryName string, ok bool)
	// ReadRecords returns the records of any shard from the store.
	ReadRecords(ctx context.Context, id uint16) (map[string]*task.Record, error)
	// Subscribe returns a channel that signals gained and lost shards.
	Subscribe() <-chan struct{}
}

// View is the state of one worker as received by this entry.
type View struct {
	Name, Region, Zone, Rack, Incarnation  string
	Session                                task.Session
	Capacity, Free                         resource.Quantity
	Revision                               uint64
	Leaving, Connected                     bool
	Targets                                []wire.TargetState
	Tasks                                  []wire.TaskStatus
	UsageAt, LastMessageAt, DisconnectedAt time.Time
	Latencies                              []wire.ServiceLatency
}

// Fleet gives access to the workers and sends messages to their agents.
type Fleet interface {
	Views() []View
	View(worker string) (View, bool)
	Send(worker string, message wire.Message) error
	// IsLost reports whether it is certain that no attempt of this boot of the worker is still running.
	IsLost(worker, bootID string) bool
}
