package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// TestCommitBeforeStart guards against a Start for an assignment that is not durable, and against
// an unanswered Start that is not resent for the same attempt.
func TestCommitBeforeStart(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		r.fleet.setOnSend(func(worker string, message wire.Message) {
			start, ok := message.(*wire.StartTask)
			if !ok {
				return
			}
			record := r.record(start.Order.TaskID)
			if record.State != task.StateAssigned || record.Attempt != start.Order.Attempt || record.Worker != worker {
				t.Errorf("Start was sent for the record %+v", record)
			}
		})
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
		is.True(r.fleet.countSent("start "+id+" 1") >= 2)
		is.True(r.fleet.countSent("start") <= 4) // at most one per second
		r.sendEvent(id, wire.EventStarted)
		r.waitForLoops()
		starts := r.fleet.countSent("start")
		r.waitForLoops()
		is.Equal(r.fleet.countSent("start"), starts)
		is.True(len(r.Explain(id)) >= 2)
	})
}

// TestNothingSentWithoutCommit guards against a message for a decision whose commit failed.
func TestNothingSentWithoutCommit(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		id := r.submit(batchSpec("job"))
		r.shard.setFail(ErrUnavailable)
		r.waitForLoops()
		if r.fleet.countSent("start") != 0 && r.record(id).State != task.StateAssigned {
			t.Fatal("start without commit")
		}
		r.shard.setFail(nil)
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
	})
}

// TestLostCommitAnswer guards against a second attempt, or none, when a commit takes effect but its
// call times out.
func TestLostCommitAnswer(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		id := r.submit(batchSpec("job"))
		r.shard.mu.Lock()
		r.shard.loseReply = true
		r.shard.mu.Unlock()
		time.Sleep(10 * time.Second)
		r.requireState(id, task.StateAssigned)
		is.Equal(r.record(id).Attempt, uint32(1))
		is.True(r.fleet.countSent("start "+id+" 1") >= 1)
	})
}

// TestEvents guards against an event that is applied twice, an acknowledgement before the commit, a
// stale event that is resent forever because it is not acknowledged, and an acknowledgement of an
// event whose attempt is newer than the recorded one.
func TestEvents(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		r.sendEvent(id, wire.EventStarted)
		r.waitForLoops()
		r.shard.setFail(ErrUnavailable)
		evicted := r.sendEvent(id, wire.EventEvicted)
		worker := r.record(id).Worker
		r.waitForLoops()
		is.Equal(r.fleet.countSent("ack "+id+" 1 evicted"), 0)
		r.shard.setFail(nil)
		for range 3 {
			r.HandleTaskEvent(worker, evicted)
			r.waitForLoops()
		}
		is.Equal(r.fleet.countSent("ack "+id+" 1 evicted"), 3)
		is.Equal(r.record(id).Evictions, uint32(1))
		is.Equal(r.record(id).Attempt, uint32(2))
		future := *evicted
		future.Attempt = 9
		r.HandleTaskEvent(worker, &future)
		r.waitForLoops()
		is.Equal(r.fleet.countSent("ack "+id+" 9"), 0)
	})
}

// TestAckWaitsForDurability guards against acknowledging a duplicate event while the first copy is
// applied but not yet durable.
func TestAckWaitsForDurability(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		r.fleet.setOnSend(func(_ string, message wire.Message) {
			if ack, ok := message.(*wire.AckTaskEvent); ok && r.record(ack.TaskID).State != task.StateFinished {
				t.Errorf("acknowledged in state %s", r.record(ack.TaskID).State)
			}
		})
		for range 5 {
			r.sendEvent(id, wire.EventFinished)
			time.Sleep(commitDelay / 4)
		}
		r.waitForLoops()
		r.requireState(id, task.StateFinished)
	})
}

// TestUnknownTaskEvent guards against a former owner that acknowledges an event of a task that was
// submitted after it lost the shard. The agent would discard the event before the current owner has
// committed it.
func TestUnknownTaskEvent(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		event := &wire.TaskEvent{TaskID: "batch/fleet/later", Attempt: 1, Type: wire.EventFinished, Session: task.Session{BootID: "boot-w0", Number: 1}}
		r.shard.setFail(ErrOwnershipLost)
		r.HandleTaskEvent("w0", event)
		r.waitForLoops()
		if r.fleet.countSent("ack ") != 0 {
			t.Error("event was acknowledged without ownership of the shard")
		}
		r.shard.setFail(nil)
		r.HandleTaskEvent("w0", event)
		r.waitForLoops()
		if r.fleet.countSent("ack ") != 1 {
			t.Error("event of a removed task was not acknowledged")
		}
	})
}

// TestUnknownRunningTask guards against a former owner that stops a task that was submitted after it
// lost the shard. An agent that has restarted would accept the stop, since it has not yet received
// the newer epoch.
func TestUnknownRunningTask(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		r.shard.setFail(ErrOwnershipLost)
		r.WorkerConnected(r.fleet.updateView("w0", func(view *View) {
			view.Session.Number = 2
			view.Tasks = []wire.TaskStatus{{TaskID: "batch/fleet/later", Attempt: 1, Running: true}}
		}))
		r.waitForLoops()
		if r.fleet.countSent("stop ") != 0 {
			t.Error("attempt was stopped without ownership of the shard")
		}
		r.shard.setFail(nil)
		r.waitForLoops()
		if r.fleet.countSent("stop ") == 0 {
			t.Error("running attempt of a task without a record was not stopped")
		}
	})
}

// TestStaleEpochRefusal guards against reassigning a task because a former owner's Start was refused,
// while the current owner's Start of the same attempt succeeds.
func TestStaleEpochRefusal(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		record := r.record(id)
		r.HandleTaskEvent(record.Worker, &wire.TaskEvent{
			TaskID: id, Attempt: 1, Type: wire.EventRefused, Refusal: wire.RefusalStaleEpoch, StaleEpoch: 4, Session: record.Session,
		})
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
		is.New(t).Equal(r.record(id).Attempt, uint32(1))
	})
}

// TestRefusal guards against a refused task that is not assigned again.
func TestRefusal(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		id := r.submit(batchSpec("job"))
		r.waitForLoops()
		r.sendEvent(id, wire.EventRefused)
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
		is.New(t).Equal(r.record(id).Attempt, uint32(2))
	})
}

// TestLostWorker guards against releasing a task before its worker is certainly lost, and against a
// second run of a non-idempotent task.
func TestLostWorker(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		once := batchSpec("once")
		once.NonIdempotent = true
		unconfirmed := once
		unconfirmed.Name = "unconfirmed"
		ids := []string{r.submit(batchSpec("job")), r.submit(once), r.submit(unconfirmed)}
		r.waitForLoops()
		for _, id := range ids[:2] {
			r.sendEvent(id, wire.EventStarted)
		}
		r.waitForLoops()
		before := r.record(ids[0])
		for _, name := range []string{"w0", "w1", "w2"} {
			r.fleet.updateView(name, func(v *View) { v.Connected = false })
		}
		r.waitForLoops()
		r.requireState(ids[0], task.StateRunning)
		r.fleet.mu.Lock()
		r.fleet.lost[before.Worker+"/"+before.Session.BootID] = true
		for _, id := range ids[1:] {
			record := r.record(id)
			r.fleet.lost[record.Worker+"/"+record.Session.BootID] = true
		}
		r.fleet.mu.Unlock()
		r.waitForLoops()
		r.requireState(ids[0], task.StatePending)
		r.requireState(ids[1], task.StateUnknown)
		r.requireState(ids[2], task.StateUnknown)
		for _, name := range []string{"w0", "w1", "w2"} {
			r.fleet.updateView(name, func(v *View) { v.Connected, v.Session.BootID = true, "new" })
		}
		r.waitForLoops()
		r.requireState(ids[0], task.StateAssigned)
		r.requireState(ids[1], task.StateUnknown)
		is.Equal(r.record(ids[0]).Attempt, uint32(2))
	})
}

// TestNeverSent guards against treating a Start that was certainly not sent as possibly sent, which
// would end a non-idempotent task in state unknown. It also guards against relying on an unsent
// assignment of another epoch, since another owner may have sent the Start.
func TestNeverSent(t *testing.T) {
	is := is.New(t)
	s := newSendTracker()
	s.addUnsent([]scheduler.Assignment{{TaskID: "x", Attempt: 1}}, 4)
	record := &task.Record{ID: "x", Attempt: 2, State: task.StateAssigned}
	is.True(!s.mayHaveStarted(record, 4))
	is.True(s.mayHaveStarted(record, 5))
	is.True(s.markSentIfDue(record, time.Now()))
	is.True(s.mayHaveStarted(record, 4))
}

// TestRecheck guards against committing an assignment that is no longer valid because the record, the
// worker's session or the zone has changed.
func TestRecheck(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		view, _ := r.fleet.View("w0")
		apply := func(change func(*task.Record, *scheduler.Assignment)) bool {
			spec := batchSpec("job")
			spec.Priority = task.PriorityNormal
			record := task.New(spec, "", time.Now())
			a := scheduler.Assignment{TaskID: record.ID, Worker: "w0", Session: view.Session}
			change(record, &a)
			return r.applyAssignment(map[string]*task.Record{record.ID: record}, &a, time.Now())
		}
		unchanged := func(*task.Record, *scheduler.Assignment) {}
		is.True(apply(unchanged))
		is.True(!apply(func(record *task.Record, _ *scheduler.Assignment) { record.Attempt = 1 }))
		is.True(!apply(func(record *task.Record, _ *scheduler.Assignment) { record.State = task.StateCancelled }))
		is.True(!apply(func(_ *task.Record, a *scheduler.Assignment) { a.Session.Number++ }))
		r.configure(func(d *configuration.Document) { d.Zones[0].OutOfService = true })
		is.True(!apply(unchanged))
	})
}

// TestFreeCapacity guards against counting a task of this entry twice or not at all, and against
// ignoring the tasks of other entries.
func TestFreeCapacity(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		size := batchSpec("").Size
		view, _ := r.fleet.View("w0")
		view.Free = view.Capacity.Sub(size).Sub(size)
		view.Tasks = []wire.TaskStatus{
			{TaskID: "batch/fleet/own", Attempt: 1, Running: true, Size: size},
			{TaskID: "batch/fleet/ended", Attempt: 1, Running: true, Size: size},
			{TaskID: "batch/fleet/foreign", Attempt: 1, Running: true, Size: size, Class: "x"},
		}
		o := &ownedTasks{shards: map[uint16]Shard{0: r.shard}, holdings: map[string][]*task.Record{"w0": {
			{ID: "batch/fleet/own", Attempt: 1, State: task.StateRunning, Spec: task.Spec{Size: size}, StartedAt: view.LastMessageAt.Add(-time.Hour)},
			{ID: "batch/fleet/new", Attempt: 1, State: task.StateAssigned, Spec: task.Spec{Size: size}},
		}}}
		w := r.schedulerWorker(&view, o, nil, time.Now())
		is.Equal(w.FreeLimit, view.Free.Sub(size))
		is.Equal(w.Neighbours, []scheduler.Neighbour{{Class: "x", Size: size}})
	})
}

// TestUrgentEvictsOnce guards against a second eviction for the same urgent task before a heartbeat
// reports the capacity that the first eviction freed.
func TestUrgentEvictsOnce(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		for _, name := range []string{"w1", "w2"} {
			r.fleet.updateView(name, func(v *View) { v.Connected = false })
		}
		var ids []string
		for i := range 4 {
			ids = append(ids, r.submit(batchSpec(fmt.Sprintf("job%d", i))))
		}
		r.waitForLoops()
		for _, id := range ids {
			r.sendEvent(id, wire.EventStarted)
		}
		r.waitForLoops()
		r.fleet.updateView("w0", func(v *View) {
			for _, id := range ids {
				v.Tasks = append(v.Tasks, wire.TaskStatus{TaskID: id, Attempt: 1, Running: true, Size: batchSpec("").Size})
			}
			v.Free, v.LastMessageAt = resource.Quantity{}, time.Now().Add(time.Minute)
		})
		urgent := batchSpec("urgent")
		urgent.Priority = task.PriorityUrgent
		id := r.submit(urgent)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.fleet.countSent("evict"), 1)
		for _, victim := range ids {
			if r.record(victim).State == task.StateEvicting {
				r.sendEvent(victim, wire.EventEvicted)
			}
		}
		r.waitForLoops()
		r.requireState(id, task.StateAssigned)
		evicting := 0
		for _, victim := range ids {
			if r.record(victim).State != task.StateRunning {
				evicting++
			}
		}
		is.Equal(evicting, 1)
	})
}

// TestOtherBoot guards against sending a Start for an old boot of a worker to its new boot. The new
// boot would refuse it, and the task would be reassigned while the attempt may still run on the old
// boot.
func TestOtherBoot(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		id := r.submit(batchSpec("job"))
		time.Sleep(300 * time.Millisecond)
		record := r.record(id)
		view := r.fleet.updateView(record.Worker, func(v *View) { v.Session = task.Session{BootID: "new", Number: 1} })
		r.WorkerConnected(view)
		sent := r.fleet.countSent("start")
		r.waitForLoops()
		is.Equal(r.fleet.countSent("start"), sent)
		r.requireState(id, task.StateAssigned)
		r.HandleTaskEvent(record.Worker, &wire.TaskEvent{TaskID: id, Attempt: 1, Type: wire.EventRefused, Session: view.Session})
		r.waitForLoops()
		is.Equal(r.record(id).Attempt, uint32(1))
	})
}

// TestHello guards against wrong handling of a Hello from a newer session. A lost attempt must be
// replaced, a running one must be adopted, one that has ended must wait for its event, and one
// without a record must be stopped.
func TestHello(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		for _, name := range []string{"w1", "w2"} {
			r.fleet.updateView(name, func(v *View) { v.Connected = false })
		}
		ids := []string{r.submit(batchSpec("dead")), r.submit(batchSpec("runs")), r.submit(batchSpec("ended"))}
		r.waitForLoops()
		for _, id := range ids {
			r.sendEvent(id, wire.EventStarted)
		}
		r.waitForLoops()
		view := r.fleet.updateView("w0", func(v *View) {
			v.Session.Number, v.Free = 2, v.Capacity
			v.Tasks = []wire.TaskStatus{
				{TaskID: ids[1], Attempt: 1, Running: true},
				{TaskID: ids[2], Attempt: 1},
				{TaskID: "batch/fleet/orphan", Attempt: 3, Running: true},
			}
		})
		r.WorkerConnected(view)
		r.waitForLoops()
		is.Equal(r.record(ids[0]).Attempt, uint32(2))
		r.requireState(ids[1], task.StateRunning)
		is.Equal(r.record(ids[1]).Session.Number, uint64(2))
		r.requireState(ids[2], task.StateRunning)
		is.Equal(r.record(ids[2]).Session.Number, uint64(1))
		is.True(r.fleet.countSent("stop batch/fleet/orphan 3 on w0") >= 1)
		is.Equal(r.fleet.countSent("stop"), 1)
	})
}

// TestCancelRacesStart guards against a cancelled task that keeps running, and against recording a
// task as cancelled that finished before it was stopped.
func TestCancelRacesStart(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		ids := []string{r.submit(batchSpec("stopped")), r.submit(batchSpec("finished"))}
		r.waitForLoops()
		for _, id := range ids {
			r.sendEvent(id, wire.EventStarted)
			record, err := r.Cancel(context.Background(), "c", id)
			is.NoErr(err)
			is.Equal(record.State, task.StateCancelling)
			_, err = r.Cancel(context.Background(), "c", id)
			is.NoErr(err)
		}
		r.waitForLoops()
		is.True(r.fleet.countSent("stop "+ids[0]+" 1") >= 1)
		r.sendEvent(ids[0], wire.EventStopped)
		r.sendEvent(ids[1], wire.EventFinished)
		r.waitForLoops()
		r.requireState(ids[0], task.StateCancelled)
		r.requireState(ids[1], task.StateFinished)
		_, err := r.Cancel(context.Background(), "c", ids[1])
		is.True(errors.Is(err, ErrAlreadyEnded))
	})
}

// TestFaultyWorker guards against further assignments to a worker on which every task fails.
func TestFaultyWorker(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		r.fleet.setOnSend(func(worker string, message wire.Message) {
			start, ok := message.(*wire.StartTask)
			if !ok {
				return
			}
			event := &wire.TaskEvent{TaskID: start.Order.TaskID, Attempt: start.Order.Attempt, Type: wire.EventFinished, Session: start.Order.Session}
			if worker == "w0" {
				event.Type = wire.EventFailed
			}
			r.HandleTaskEvent(worker, event)
		})
		var ids []string
		for i := range 40 {
			ids = append(ids, r.submit(batchSpec(fmt.Sprintf("job%d", i))))
		}
		time.Sleep(20 * time.Second)
		for _, id := range ids {
			r.requireState(id, task.StateFinished)
		}
		r.learned.mu.Lock()
		status := r.learned.health.Status("w0", time.Now())
		r.learned.mu.Unlock()
		if failures := r.fleet.countSent("ack"); status != scheduler.HealthQuarantined || failures > 46 {
			t.Fatalf("status %d after %d events", status, failures)
		}
	})
}

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

// TestLearns guards against usage reports that have no effect on the estimates of sizes and
// interference.
func TestLearns(t *testing.T) {
	withFakeTime(t, func(r *harness) {
		is := is.New(t)
		for i := range 30 {
			speed := 10 * (1 + i%2)
			tasks := []wire.TaskStatus{{
				TaskID: "batch/fleet/job", Attempt: 1, Running: true, Class: "certificate", ProgressPermille: i*30 - speed,
				Size: batchSpec("job").Size, Usage: resource.Quantity{MilliCPU: 2000, MemoryBytes: 1 << 30},
			}}
			if i%2 == 0 {
				tasks = append(tasks, wire.TaskStatus{TaskID: "batch/fleet/n", Attempt: 1, Running: true, Class: "noisy"})
			}
			r.HandleUsage("w0", &wire.Usage{Tasks: tasks})
			time.Sleep(5 * time.Second)
		}
		is.True(len(r.Interference().Pairs) > 0)
		declared := batchSpec("job").Size
		is.Equal(r.learned.sizes.ExpectedUse("fleet", "certificate", declared).MilliCPU, int64(2000))
	})
}
