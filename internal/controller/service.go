package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

// serviceInterval is the time between comparisons of the replicas with the configuration.
const serviceInterval = time.Second

// ReplicaName returns the task name of a service replica.
func ReplicaName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index) }

// ReplicaID returns the task id of a service replica.
func ReplicaID(service *configuration.Service, index int) string {
	return task.ID(task.KindService, service.Team, ReplicaName(service.Name, index))
}

// serviceLoop keeps the replicas of the services at their number.
func (c *Controller) serviceLoop(ctx context.Context) error {
	return repeat(ctx, serviceInterval, 0, nil, c.keepServices)
}

func (c *Controller) keepServices(ctx context.Context) {
	document := c.document()
	if document == nil {
		return
	}
	wanted := map[uint16]map[string]task.Spec{}
	for index := range document.Services {
		for id, spec := range replicas(&document.Services[index]) {
			shard := c.shardOf(id)
			if wanted[shard] == nil {
				wanted[shard] = map[string]task.Spec{}
			}
			wanted[shard][id] = spec
		}
	}
	for _, shard := range c.shards.Owned() {
		c.keepReplicas(ctx, shard, wanted[shard.ID()])
	}
}

func replicas(service *configuration.Service) map[string]task.Spec {
	specs := make(map[string]task.Spec, service.Replicas)
	for index := range service.Replicas {
		specs[ReplicaID(service, index)] = task.Spec{
			Name: ReplicaName(service.Name, index), Kind: task.KindService, Team: service.Team, Class: service.Class,
			Priority: task.PriorityUrgent, Size: service.Size, Payload: service.Payload, Service: service.Name,
		}
	}
	return specs
}

// keepReplicas creates missing replicas and cancels those that are not wanted or whose
// specification has changed; the latter are created again once they have stopped.
func (c *Controller) keepReplicas(ctx context.Context, shard Shard, wanted map[string]task.Spec) {
	if !applyReplicas(shard.Snapshot(), wanted, time.Now(), nil) {
		return
	}
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		if !applyReplicas(tasks, wanted, time.Now(), tasks) {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil && !errors.Is(err, errNothingToCommit) {
		c.logger.Warn("service replicas were not committed", "shard", shard.ID(), "err", err)
	}
}

// applyReplicas reports whether records need a change and stores changed ones in target.
func applyReplicas(tasks map[string]*task.Record, wanted map[string]task.Spec, now time.Time, target map[string]*task.Record) bool {
	changed := map[string]*task.Record{}
	for id, spec := range wanted {
		if record := wantedReplica(tasks[id], spec, now); record != nil {
			changed[id] = record
		}
	}
	for id, record := range tasks {
		if _, ok := wanted[id]; !ok && record.Spec.Kind == task.KindService {
			if cancelled := cancelReplica(record, now); cancelled != nil {
				changed[id] = cancelled
			}
		}
	}
	if target != nil {
		for id, record := range changed {
			target[id] = record
		}
	}
	return len(changed) > 0
}

// wantedReplica returns the changed record of a wanted replica, or nil if it needs no change.
func wantedReplica(record *task.Record, spec task.Spec, now time.Time) *task.Record {
	if spec.Validate() != nil {
		return nil
	}
	if record == nil {
		return task.New(spec, "", now)
	}
	if record.IsFinal() {
		recreated, err := task.Recreate(record, spec, "", now)
		if err != nil {
			return nil
		}
		return recreated
	}
	if record.Spec.Equal(&spec) {
		return nil
	}
	return cancelReplica(record, now)
}

// cancelReplica returns the record with a requested cancellation, or nil if that changes nothing.
func cancelReplica(record *task.Record, now time.Time) *task.Record {
	if record.IsFinal() || record.State == task.StateCancelling {
		return nil
	}
	changed := record.Clone()
	if err := changed.CancelRequested(now); err != nil {
		return nil
	}
	return changed
}
