package operator

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/task"
)

func quantityToMessage(q resource.Quantity) *operatorv1.Quantity {
	return &operatorv1.Quantity{MilliCpu: q.MilliCPU, MemoryBytes: q.MemoryBytes, Accelerators: q.Accelerators}
}

func quantityFromMessage(m *operatorv1.Quantity) resource.Quantity {
	return resource.Quantity{
		MilliCPU: m.GetMilliCpu(), MemoryBytes: m.GetMemoryBytes(), Accelerators: m.GetAccelerators(),
	}
}

// timeToMessage returns nil for the zero time, which leaves the field unset.
func timeToMessage(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// durationToMessage returns nil for a zero duration, which leaves the field unset.
func durationToMessage(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

// The conversions below cast enumerations directly: kinds, priorities and states have the same
// numeric values in the protobuf schema and in internal/task. TestEnumerations verifies this.

// SpecToMessage converts a task specification to its protobuf message. A zero expected run time is
// left unset.
func SpecToMessage(s task.Spec) *operatorv1.TaskSpec {
	return &operatorv1.TaskSpec{
		Name: s.Name, Kind: operatorv1.TaskKind(s.Kind), Team: s.Team, Class: s.Class,
		Priority: operatorv1.Priority(s.Priority), Size: quantityToMessage(s.Size),
		ExpectedRunTime: durationToMessage(s.ExpectedRunTime), NonIdempotent: s.NonIdempotent,
		Zones: s.Zones, SpreadGroup: s.SpreadGroup, Payload: s.Payload,
	}
}

// specFromMessage converts a specification that passed validateSpec. An unset priority becomes
// configuration.DefaultPriority.
func specFromMessage(m *operatorv1.TaskSpec) task.Spec {
	priority := task.Priority(m.GetPriority())
	if priority == 0 {
		priority = configuration.DefaultPriority
	}
	return task.Spec{
		Name: m.GetName(), Kind: task.Kind(m.GetKind()), Team: m.GetTeam(), Class: m.GetClass(),
		Priority: priority, Size: quantityFromMessage(m.GetSize()),
		ExpectedRunTime: m.GetExpectedRunTime().AsDuration(), NonIdempotent: m.GetNonIdempotent(),
		Zones: m.GetZones(), SpreadGroup: m.GetSpreadGroup(), Payload: m.GetPayload(),
	}
}

func taskToMessage(r task.Record) *operatorv1.Task {
	message := &operatorv1.Task{
		Id: r.ID, Spec: SpecToMessage(r.Spec), State: operatorv1.TaskState(r.State), Attempt: r.Attempt,
		Worker: r.Worker, Checkpoint: r.Checkpoint, CreatedAt: timeToMessage(r.CreatedAt),
		UpdatedAt: timeToMessage(r.UpdatedAt), Result: r.Result, Reason: r.Reason, Evictions: r.Evictions,
	}
	for _, failure := range r.Failures {
		message.Failures = append(message.Failures, &operatorv1.TaskFailure{
			Worker: failure.Worker, Attempt: failure.Attempt, Reason: failure.Reason, At: timeToMessage(failure.At),
		})
	}
	return message
}

func decisionToMessage(d Decision) *operatorv1.Decision {
	message := &operatorv1.Decision{At: timeToMessage(d.At), Action: d.Action, Worker: d.Worker, Reason: d.Reason}
	for _, filtered := range d.Filtered {
		message.Filtered = append(message.Filtered, &operatorv1.FilterCount{
			Reason: filtered.Reason, Workers: int32(filtered.Workers),
		})
	}
	return message
}
