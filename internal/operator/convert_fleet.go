package operator

import (
	"time"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/wire"
)

// Worker states: the values of the state field of operatorv1.Worker. workerSilent is a worker that is
// not connected but not yet lost.
const (
	workerLive        = "live"
	workerLeaving     = "leaving"
	workerSilent      = "silent"
	workerLost        = "lost"
	workerQuarantined = "quarantined"
)

func workerState(v WorkerView) string {
	switch {
	case v.Lost:
		return workerLost
	case !v.Connected:
		return workerSilent
	case v.Leaving:
		return workerLeaving
	case v.Quarantined:
		return workerQuarantined
	default:
		return workerLive
	}
}

func workerToMessage(v WorkerView) *operatorv1.Worker {
	message := &operatorv1.Worker{
		Name: v.Name, Zone: v.Zone, Rack: v.Rack, Capacity: quantityToMessage(v.Capacity),
		Free: quantityToMessage(v.Free), Revision: v.Revision, State: workerState(v),
	}
	for _, running := range v.Tasks {
		if running.Running {
			message.Tasks = append(message.Tasks, running.TaskID)
		}
	}
	for _, target := range v.Targets {
		message.Targets = append(message.Targets, targetToMessage(target))
	}
	return message
}

func targetToMessage(t wire.TargetState) *operatorv1.Target {
	return &operatorv1.Target{
		Service: t.Service, Address: t.Address, Slots: int32(t.Slots), SlotsUsed: int32(t.SlotsUsed),
		Leaving: t.Leaving, Latency: durationToMessage(time.Duration(t.LatencyMicros) * time.Microsecond),
	}
}
