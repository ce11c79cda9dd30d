package controller

import (
	"context"
	"time"

	"clementineflow/internal/resource"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// Shard is an owned shard.
type Shard interface {
	ID() uint16
	Epoch() uint64
	// Snapshot returns the records of the last durable document. It is not changed by anyone.
	Snapshot() map[string]*task.Record
	// Propose commits a mutation; nil means that it is durable. ErrOwnershipLost, ErrUnavailable and
	// ErrShardFull mean that it was certainly not applied. An error of mutate is returned as it is.
	// The mutation may run more than once and may see changes that are not durable yet; it replaces
	// records and does not modify them.
	Propose(ctx context.Context, mutate func(tasks map[string]*task.Record) error) error
}

// Shards gives access to the shards of the region.
type Shards interface {
	Owned() []Shard
	Shard(id uint16) (Shard, bool)
	Owner(id uint16) (entryName string, ok bool)
	// Read returns the records of any shard from the store.
	Read(ctx context.Context, id uint16) (map[string]*task.Record, error)
	// Subscribe notifies of a gained or lost shard.
	Subscribe() <-chan struct{}
}

// View is what this entry knows of one worker.
type View struct {
	Name, Region, Zone, Rack, Incarnation string
	Session                               task.Session
	Capacity, Free                        resource.Quantity
	Revision                              uint64
	Leaving, Connected                    bool
	Targets                               []wire.TargetState
	Tasks                                 []wire.TaskStatus
	UsageAt, HeardAt, LostAt              time.Time
	Latencies                             []wire.ServiceLatency
}

// Fleet is the entry's side of the links with the agents.
type Fleet interface {
	Views() []View
	View(worker string) (View, bool)
	Send(worker string, message wire.Message) error
	// Lost reports whether attempts of the worker's boot certainly run no longer.
	Lost(worker, bootID string) bool
}
