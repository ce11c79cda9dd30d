package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/task"
	"clementineflow/internal/wait"
)

const (
	// defaultListLimit and maxListLimit are the default and maximum number of tasks per page of List.
	defaultListLimit = 100
	maxListLimit     = 500
	// watchPollInterval is the time between polls of a watched task.
	watchPollInterval = 200 * time.Millisecond
)

// Get returns the durable record of a task. It returns ErrNotFound, ErrUnavailable or *NotOwnerError.
func (c *Controller) Get(_ context.Context, taskID string) (task.Record, error) {
	shard, err := c.ownedShard(taskID)
	if err != nil {
		return task.Record{}, err
	}
	record, ok := shard.Snapshot()[taskID]
	if !ok {
		return task.Record{}, ErrNotFound
	}
	return *record, nil
}

// Filter selects the tasks that match all its fields. A zero field matches every task.
type Filter struct {
	Team   string
	State  task.State
	Worker string
	Kind   task.Kind
}

func (f *Filter) matches(record *task.Record) bool {
	return (f.Team == "" || f.Team == record.Spec.Team) &&
		(f.State == 0 || f.State == record.State) &&
		(f.Worker == "" || f.Worker == record.Worker) &&
		(f.Kind == 0 || f.Kind == record.Spec.Kind)
}

// List returns at most limit tasks of the region with ids greater than after, ordered by id. A limit
// of zero or less selects the default, and a large one is reduced to the maximum. Shards of other
// entries are read from the store; List returns ErrUnavailable if that fails.
func (c *Controller) List(ctx context.Context, filter Filter, after string, limit int) ([]task.Record, error) {
	if limit <= 0 {
		limit = defaultListLimit
	}
	limit = min(limit, maxListLimit)
	var found []task.Record
	for id := range c.shardCount {
		records, err := c.readRecords(ctx, id)
		if err != nil {
			return nil, errors.Wrapf(ErrUnavailable, "shard %d: %v", id, err)
		}
		for _, record := range records {
			if record.ID > after && filter.matches(record) {
				found = append(found, *record)
			}
		}
	}
	slices.SortFunc(found, func(a, b task.Record) int { return cmp.Compare(a.ID, b.ID) })
	return found[:min(limit, len(found))], nil
}

func (c *Controller) readRecords(ctx context.Context, id uint16) (map[string]*task.Record, error) {
	if shard, ok := c.shards.Shard(id); ok {
		return shard.Snapshot(), nil
	}
	return c.shards.ReadRecords(ctx, id)
}

// Watch sends the current record and then a new one after each change. Changes within a short time
// may be sent as one. The channel is closed when the context ends, the task's record is removed or
// this entry loses the shard. Watch returns the errors of Get.
func (c *Controller) Watch(ctx context.Context, taskID string) (<-chan task.Record, error) {
	current, err := c.Get(ctx, taskID)
	if err != nil {
		return nil, err
	}
	updates := make(chan task.Record, 1)
	updates <- current
	go c.sendUpdates(ctx, current, updates)
	return updates, nil
}

func (c *Controller) sendUpdates(ctx context.Context, last task.Record, updates chan<- task.Record) {
	defer close(updates)
	for wait.Sleep(ctx, watchPollInterval) {
		current, err := c.Get(ctx, last.ID)
		if err != nil {
			return
		}
		if current.UpdatedAt.Equal(last.UpdatedAt) && current.State == last.State {
			continue
		}
		select {
		case updates <- current:
			last = current
		case <-ctx.Done():
			return
		}
	}
}
