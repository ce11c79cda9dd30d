package entry

import (
	"context"

	"github.com/pkg/errors"

	"clementineflow/internal/controller"
	"clementineflow/internal/shard"
	"clementineflow/internal/task"
)

// controllerShards implements controller.Shards over the shard manager.
type controllerShards struct {
	manager *shard.Manager
}

// Owned implements controller.Shards.
func (s controllerShards) Owned() []controller.Shard {
	owned := s.manager.Owned()
	adapted := make([]controller.Shard, 0, len(owned))
	for _, each := range owned {
		adapted = append(adapted, ownedShard{each})
	}
	return adapted
}

// Shard implements controller.Shards.
func (s controllerShards) Shard(id uint16) (controller.Shard, bool) {
	found, ok := s.manager.Shard(id)
	return ownedShard{found}, ok
}

// Owner implements controller.Shards.
func (s controllerShards) Owner(id uint16) (string, bool) { return s.manager.Owner(id) }

// Subscribe implements controller.Shards.
func (s controllerShards) Subscribe() <-chan struct{} { return s.manager.Subscribe() }

// ReadRecords implements controller.Shards.
func (s controllerShards) ReadRecords(ctx context.Context, id uint16) (map[string]*task.Record, error) {
	document, err := s.manager.Read(ctx, id)
	if err != nil {
		return nil, errors.Wrap(controller.ErrUnavailable, err.Error())
	}
	return document.Tasks, nil
}

// ownedShard implements controller.Shard.
type ownedShard struct {
	shard *shard.Shard
}

func (s ownedShard) ID() uint16                        { return s.shard.ID() }
func (s ownedShard) Epoch() uint64                     { return s.shard.Epoch() }
func (s ownedShard) Snapshot() map[string]*task.Record { return s.shard.Snapshot().Tasks }

// Propose implements controller.Shard and translates the shard's errors.
func (s ownedShard) Propose(ctx context.Context, mutate func(map[string]*task.Record) error) error {
	err := s.shard.Propose(ctx, func(document *shard.Document) error {
		if document.Tasks == nil {
			document.Tasks = make(map[string]*task.Record)
		}
		return mutate(document.Tasks)
	})
	switch {
	case errors.Is(err, shard.ErrNotOwner):
		return controller.ErrOwnershipLost
	case errors.Is(err, shard.ErrFull):
		return controller.ErrShardFull
	case errors.Is(err, shard.ErrUnavailable):
		return errors.Wrap(controller.ErrUnavailable, err.Error())
	case errors.Is(err, shard.ErrOutcomeUnknown):
		return errors.Wrap(controller.ErrOutcomeUnknown, err.Error())
	default:
		return err
	}
}
