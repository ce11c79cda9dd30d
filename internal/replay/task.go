package replay

import (
	"errors"
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/controller"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

// errUnavailable is the refusal of changes while the store is down or no configuration is known.
var errUnavailable = errors.New("unavailable")

// spec returns the specification of a submission.
func (s *Submit) spec() task.Spec {
	return task.Spec{
		Name: s.Name, Kind: taskKinds[s.Kind], Team: s.Team, Class: s.Class, Priority: priorities[s.Priority],
		Size: s.Size, ExpectedRunTime: time.Duration(s.ExpectedRunTime), NonIdempotent: s.NonIdempotent,
		Zones: s.Zones, SpreadGroup: s.SpreadGroup,
	}
}

// submit accepts or refuses a specification.
func (r *replayer) submit(submitted *Submit) {
	spec := submitted.spec()
	id := spec.ID()
	if err := r.admissible(&spec); err != nil {
		r.decide("submit refused task=%s: %v", id, err)
		r.history.refused[id] = err.Error()
		return
	}
	if known, ok := r.records[id]; ok {
		if !known.Spec.Equal(&spec) {
			r.history.refused[id] = controller.ErrAlreadyExists.Error()
		}
		r.decide("submit repeated task=%s equal=%t", id, known.Spec.Equal(&spec))
		return
	}
	r.runs[id] = submitted.Run
	r.decide("submit accepted task=%s", id)
	r.store(task.New(spec, "", r.now))
	r.history.accepted[id] = &acceptedTask{
		at: r.now, urgent: spec.Priority == task.PriorityUrgent, batch: spec.Kind == task.KindBatch,
	}
	r.history.acceptedOrder = append(r.history.acceptedOrder, id)
	r.wakePlan()
}

// admissible refuses what could never run, in the order of the controller's checks.
func (r *replayer) admissible(spec *task.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	if !r.storeUp || r.document == nil {
		return errUnavailable
	}
	team, ok := r.document.Team(spec.Team)
	if !ok {
		return &task.InvalidSpecError{Field: "team", Reason: "not in the configuration"}
	}
	for _, zone := range spec.Zones {
		if _, ok := r.document.Zone(zone); !ok {
			return &task.InvalidSpecError{Field: "zones", Reason: "zone " + zone + " is not in the configuration"}
		}
	}
	if !scheduler.WithinQuota(spec.Size, team.Quota) {
		return controller.QuotaTooSmallError{Team: team.Name}
	}
	capacities := make([]scheduler.Capacity, 0, len(r.workers))
	for _, w := range sorted(r.workers) {
		capacities = append(capacities, scheduler.Capacity{Zone: w.Zone, Size: w.Capacity})
	}
	return scheduler.CheckFeasible(spec, capacities)
}

// cancel requests the end of a task.
func (r *replayer) cancel(taskID string) {
	record, ok := r.records[taskID]
	switch {
	case !r.storeUp:
		r.decide("cancel refused task=%s: unavailable", taskID)
		return
	case !ok:
		r.decide("cancel refused task=%s: not found", taskID)
		return
	}
	r.requestCancel(record)
}

func (r *replayer) requestCancel(record *task.Record) {
	changed := record.Clone()
	if err := changed.CancelRequested(r.now); err != nil {
		r.decide("cancel refused task=%s state=%s", record.ID, record.State)
		return
	}
	r.decide("cancel task=%s state=%s", record.ID, changed.State)
	r.store(changed)
	if changed.State == task.StateCancelling {
		if w := r.workers[changed.Worker]; w != nil && w.connected && w.attempts[changed.ID] != nil {
			r.stop(w, w.attempts[changed.ID])
		}
	}
	r.wakePlan()
}

// store replaces a record and notes its state.
func (r *replayer) store(record *task.Record) {
	r.records[record.ID] = record
	zone := ""
	if w := r.workers[record.Worker]; w != nil {
		zone = w.Zone
	}
	r.history.states[record.ID] = append(r.history.states[record.ID], stateFact{
		at: r.now, state: record.State, worker: record.Worker, zone: zone,
	})
}

// keepServices keeps the replicas of the services at their number, as the controller does.
func (r *replayer) keepServices() {
	if r.document == nil || !r.storeUp {
		return
	}
	wanted := map[string]bool{}
	for index := range r.document.Services {
		service := &r.document.Services[index]
		for replica := range service.Replicas {
			wanted[controller.ReplicaID(service, replica)] = true
			r.keepReplica(service, replica)
		}
	}
	for _, record := range sorted(r.records) {
		if record.Spec.Kind == task.KindService && !wanted[record.ID] && !record.IsFinal() && record.State != task.StateCancelling {
			r.requestCancel(record)
		}
	}
}

func (r *replayer) keepReplica(service *configuration.Service, index int) {
	id := controller.ReplicaID(service, index)
	spec := task.Spec{
		Name: controller.ReplicaName(service.Name, index), Kind: task.KindService, Team: service.Team,
		Class: service.Class, Priority: task.PriorityUrgent, Size: service.Size, Service: service.Name,
	}
	record, ok := r.records[id]
	switch {
	case spec.Validate() != nil:
	case !ok:
		r.runs[id] = &Run{}
		r.store(task.New(spec, "", r.now))
		r.wakePlan()
	case record.IsFinal():
		if recreated, err := task.Recreate(record, spec, "", r.now); err == nil {
			r.store(recreated)
			r.wakePlan()
		}
	case !record.Spec.Equal(&spec) && record.State != task.StateCancelling:
		r.requestCancel(record)
	}
}
