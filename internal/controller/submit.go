package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// Submit creates a task. A nil error means that the task is durable. Submitting the same
// specification again returns the existing record. It returns *task.InvalidSpecError,
// *scheduler.InfeasibleError, ErrQuotaTooSmall, ErrAlreadyExists, ErrResourceExhausted, ErrUnavailable,
// ErrOutcomeUnknown or *NotOwnerError.
func (c *Controller) Submit(ctx context.Context, requestID string, spec task.Spec) (task.Record, error) {
	if spec.Priority == 0 {
		spec.Priority = configuration.DefaultPriority
	}
	if err := validateSpec(&spec); err != nil {
		return task.Record{}, err
	}
	id := spec.ID()
	shard, err := c.ownedShard(id)
	if err != nil {
		return task.Record{}, err
	}
	if _, exists := shard.Snapshot()[id]; !exists {
		if err := c.checkAdmission(&spec); err != nil {
			return task.Record{}, err
		}
	}
	var result *task.Record
	err = c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		existing, ok := tasks[id]
		if !ok {
			existing = task.New(spec, requestID, time.Now())
			tasks[id] = existing
		}
		if !existing.Spec.Equal(&spec) {
			return ErrAlreadyExists
		}
		result = existing
		return nil
	})
	if err != nil {
		return task.Record{}, c.toOperationError(shard.ID(), err)
	}
	return *result, nil
}

func validateSpec(spec *task.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	if spec.Kind == task.KindService {
		return &task.InvalidSpecError{Field: "kind", Reason: "service replicas are created from the configuration"}
	}
	return nil
}

// checkAdmission returns an error with the reasons if the task could never run under the current
// configuration and worker capacities.
func (c *Controller) checkAdmission(spec *task.Spec) error {
	document := c.document()
	if document == nil {
		return errors.Wrap(ErrUnavailable, "configuration is not known")
	}
	team, ok := document.Team(spec.Team)
	if !ok {
		return &task.InvalidSpecError{Field: "team", Reason: "not in the configuration"}
	}
	for _, zone := range spec.Zones {
		if _, ok := document.Zone(zone); !ok {
			return &task.InvalidSpecError{Field: "zones", Reason: "zone " + zone + " is not in the configuration"}
		}
	}
	if !scheduler.WithinQuota(spec.Size, team.Quota) {
		return QuotaTooSmallError{Team: team.Name}
	}
	return scheduler.CheckFeasible(spec, c.workerCapacities())
}

func (c *Controller) workerCapacities() []scheduler.Capacity {
	views := c.fleet.Views()
	capacities := make([]scheduler.Capacity, 0, len(views))
	for _, view := range views {
		capacities = append(capacities, scheduler.Capacity{Zone: view.Zone, Size: view.Capacity})
	}
	return capacities
}

// ownedShard returns the task's shard. If this entry does not own it, ownedShard returns a *NotOwnerError
// or ErrUnavailable.
func (c *Controller) ownedShard(taskID string) (Shard, error) {
	id := c.shardOf(taskID)
	shard, ok := c.shards.Shard(id)
	if !ok {
		return nil, c.notOwnerError(id)
	}
	return shard, nil
}
