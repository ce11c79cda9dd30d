package controller

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// TestSubmit guards against creating a task twice, and against accepting a task that could never run
// or that belongs to another entry's shard.
func TestSubmit(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		ctx := context.Background()
		id := r.submit(batchSpec("job"))
		is.Equal(r.submit(batchSpec("job")), id)
		other := batchSpec("job")
		other.Class = "bend-plan"
		_, err := r.Submit(ctx, "r", other)
		is.True(errors.Is(err, ErrAlreadyExists))
		huge := batchSpec("huge")
		huge.Size.MilliCPU = 5000
		_, err = r.Submit(ctx, "r", huge)
		var infeasible *scheduler.InfeasibleError
		is.True(errors.As(err, &infeasible))
		is.Equal(infeasible.Filtered, []scheduler.FilterCount{{Reason: scheduler.ReasonProcessors, Workers: 3}})
		unknownTeam := batchSpec("job")
		unknownTeam.Team = "nobody"
		_, err = r.Submit(ctx, "r", unknownTeam)
		var invalid *task.InvalidSpecError
		is.True(errors.As(err, &invalid))
		r.configure(func(d *configuration.Document) { d.Teams[0].Quota = resource.Quantity{MilliCPU: 500} })
		_, err = r.Submit(ctx, "r", batchSpec("over"))
		var quota QuotaTooSmallError
		is.True(errors.As(err, &quota))
		r.configure(func(d *configuration.Document) { d.Teams[0].Quota = resource.Quantity{} })
		r.shard.setFail(ErrShardFull)
		_, err = r.Submit(ctx, "r", batchSpec("full"))
		is.True(errors.Is(err, ErrResourceExhausted))
		r.shard.setFail(nil)
		listed, err := r.List(ctx, Filter{Team: "fleet"}, "", 10)
		is.NoErr(err)
		is.Equal(len(listed), 1)
		otherEntry := "e2"
		r.shards.otherOwner.Store(&otherEntry)
		_, err = r.Submit(ctx, "r", batchSpec("job"))
		var owner NotOwnerError
		is.True(errors.As(err, &owner))
		is.Equal(owner.Entry, "e2")
	})
}

// TestServices guards against missing and surplus replicas, and against a recreated replica that
// reuses an attempt number, which an agent's tombstone would refuse.
func TestServices(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		service := configuration.Service{
			Name: "rail", Team: "fleet", Class: "rail", Replicas: 2,
			Size: resource.Quantity{MilliCPU: 1000, MemoryBytes: 1 << 30},
		}
		addService := func(d *configuration.Document) { d.Services = []configuration.Service{service} }
		r.configure(addService)
		r.waitForLoops()
		first := ReplicaID(&service, 0)
		r.requireState(first, task.StateAssigned)
		r.requireState(ReplicaID(&service, 1), task.StateAssigned)
		r.sendEvent(first, wire.EventFailed)
		r.waitForLoops()
		r.requireState(first, task.StateAssigned)
		r.configure(func(d *configuration.Document) { d.Services = nil })
		r.waitForLoops()
		r.requireState(first, task.StateCancelling)
		r.sendEvent(first, wire.EventStopped)
		r.waitForLoops()
		r.requireState(first, task.StateCancelled)
		r.configure(addService)
		r.waitForLoops()
		r.requireState(first, task.StateAssigned)
		is.Equal(r.record(first).Attempt, uint32(3))
	})
}

// TestZoneLeaving guards against starting a task in a zone that is out of service, and against tasks
// that are not evicted from it.
func TestZoneLeaving(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		r.sendEvent(id, wire.EventStarted)
		r.waitForLoops()
		from := r.record(id).Worker
		view, _ := r.fleet.View(from)
		r.configure(func(d *configuration.Document) {
			for i := range d.Zones {
				d.Zones[i].OutOfService = d.Zones[i].Name == view.Zone
			}
		})
		r.waitForLoops()
		r.requireState(id, task.StateEvicting)
		is.True(r.fleet.countSent("evict "+id+" 1 on "+from) >= 1)
		r.sendEvent(id, wire.EventEvicted)
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
		is.True(r.record(id).Worker != from)
		is.Equal(r.record(id).Checkpoint, "c1")
	})
}

// TestWatch guards against a watch that does not deliver the final state, and against updates after
// its end.
func TestWatch(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		id := r.submit(batchSpec("job"))
		ctx, cancel := context.WithCancel(context.Background())
		updates, err := r.Watch(ctx, id)
		is.NoErr(err)
		is.Equal((<-updates).State, task.StatePending)
		is.Equal((<-updates).State, task.StateAssigned)
		r.sendEvent(id, wire.EventFinished)
		is.Equal((<-updates).State, task.StateFinished)
		cancel()
		for range updates {
			t.Error("update after the end")
		}
	})
}
