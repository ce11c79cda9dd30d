package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/task"
)

// serviceInterval is the time between reconciliations of the service replicas.
const serviceInterval = time.Second

// ReplicaName returns the task name of a service replica: the service's name and the index.
func ReplicaName(service string, index int) string { return fmt.Sprintf("%s-%d", service, index) }

// ReplicaID returns the task id of a service replica: the id of its kind, team and replica name.
func ReplicaID(service *configuration.Service, index int) string {
	return task.ID(task.KindService, service.Team, ReplicaName(service.Name, index))
}

// serviceLoop reconciles the service replicas with the configuration.
func (c *Controller) serviceLoop(ctx context.Context) error {
	return runPeriodically(ctx, serviceInterval, 0, nil, c.reconcileServices)
}

func (c *Controller) reconcileServices(ctx context.Context) {
	document := c.document()
	if document == nil {
		return
	}
	desired := map[uint16]map[string]task.Spec{}
	for index := range document.Services {
		for id, spec := range replicaSpecs(&document.Services[index]) {
			shard := c.shardOf(id)
			if desired[shard] == nil {
				desired[shard] = map[string]task.Spec{}
			}
			desired[shard][id] = spec
		}
	}
	for _, shard := range c.shards.Owned() {
		c.reconcileReplicas(ctx, shard, desired[shard.ID()])
	}
}

func replicaSpecs(service *configuration.Service) map[string]task.Spec {
	specs := make(map[string]task.Spec, service.Replicas)
	for index := range service.Replicas {
		specs[ReplicaID(service, index)] = task.Spec{
			Name: ReplicaName(service.Name, index), Kind: task.KindService, Team: service.Team, Class: service.Class,
			Priority: task.PriorityUrgent, Size: service.Size, Payload: service.Payload, Service: service.Name,
		}
	}
	return specs
}

// reconcileReplicas creates missing replicas and cancels those that are not configured or whose
// specification has changed. Replicas with a changed specification are recreated after they stop.
func (c *Controller) reconcileReplicas(ctx context.Context, shard Shard, desired map[string]task.Spec) {
	if !applyReplicas(shard.Snapshot(), desired, time.Now(), nil) {
		return
	}
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		if !applyReplicas(tasks, desired, time.Now(), tasks) {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil && !errors.Is(err, errNothingToCommit) {
		c.logger.Warn("failed to commit the service replicas", "shard", shard.ID(), "err", err)
	}
}

// applyReplicas reports whether any replica's record needs a change, and stores the changed records
// in target, which may be the same map as tasks, or nil.
func applyReplicas(tasks map[string]*task.Record, desired map[string]task.Spec, now time.Time, target map[string]*task.Record) bool {
	changed := map[string]*task.Record{}
	for id, spec := range desired {
		if record := updateReplica(tasks[id], spec, now); record != nil {
			changed[id] = record
		}
	}
	for id, record := range tasks {
		if _, ok := desired[id]; !ok && record.Spec.Kind == task.KindService {
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

// updateReplica returns the changed record of a configured replica, or nil if the record needs no
// change or the specification is invalid.
func updateReplica(record *task.Record, spec task.Spec, now time.Time) *task.Record {
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

// cancelReplica returns the record with its cancellation requested, or nil if the task has ended or
// is already being cancelled.
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
