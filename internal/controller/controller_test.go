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
// an unanswered Start that is not repeated with the same attempt.
func TestCommitBeforeStart(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		r.fleet.answer(func(worker string, message wire.Message) {
			start, ok := message.(*wire.StartTask)
			if !ok {
				return
			}
			record := r.record(start.Order.TaskID)
			if record.State != task.StateAssigned || record.Attempt != start.Order.Attempt || record.Worker != worker {
				t.Errorf("start of %+v", record)
			}
		})
		id := r.submit(batch("job"))
		r.settle()
		r.expectState(id, task.StateAssigned)
		is.True(r.fleet.count("start "+id+" 1") >= 2)
		is.True(r.fleet.count("start") <= 4) // one a second
		r.report(id, wire.EventStarted)
		r.settle()
		starts := r.fleet.count("start")
		r.settle()
		is.Equal(r.fleet.count("start"), starts)
		is.True(len(r.Explain(id)) >= 2)
	})
}

// TestNothingSentWithoutCommit guards against a message for a decision that was not committed.
func TestNothingSentWithoutCommit(t *testing.T) {
	inBubble(t, func(r *rig) {
		id := r.submit(batch("job"))
		r.shard.setFail(ErrUnavailable)
		r.settle()
		if r.fleet.count("start") != 0 && r.record(id).State != task.StateAssigned {
			t.Fatal("start without commit")
		}
		r.shard.setFail(nil)
		r.settle()
		r.expectState(id, task.StateAssigned)
	})
}

// TestLostCommitAnswer guards against a second attempt, or none, when the answer to a commit is lost.
func TestLostCommitAnswer(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		id := r.submit(batch("job"))
		r.shard.mu.Lock()
		r.shard.loseAnswer = true
		r.shard.mu.Unlock()
		time.Sleep(10 * time.Second)
		r.expectState(id, task.StateAssigned)
		is.Equal(r.record(id).Attempt, uint32(1))
		is.True(r.fleet.count("start "+id+" 1") >= 1)
	})
}

// TestEvents guards against an effect that is applied twice, an acknowledgement before the commit,
// and a stale event that is repeated for ever because nobody acknowledges it.
func TestEvents(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		id := r.submit(batch("job"))
		r.settle()
		r.report(id, wire.EventStarted)
		r.settle()
		r.shard.setFail(ErrUnavailable)
		evicted := r.report(id, wire.EventEvicted)
		worker := r.record(id).Worker
		r.settle()
		is.Equal(r.fleet.count("ack "+id+" 1 evicted"), 0)
		r.shard.setFail(nil)
		for range 3 {
			r.TaskEvent(worker, evicted)
			r.settle()
		}
		is.Equal(r.fleet.count("ack "+id+" 1 evicted"), 3)
		is.Equal(r.record(id).Evictions, uint32(1))
		is.Equal(r.record(id).Attempt, uint32(2))
		ahead := *evicted
		ahead.Attempt = 9
		r.TaskEvent(worker, &ahead)
		r.settle()
		is.Equal(r.fleet.count("ack "+id+" 9"), 0)
	})
}

// TestAckWaitsForDurability guards against acknowledging a duplicate because its first copy is
// applied but not durable yet.
func TestAckWaitsForDurability(t *testing.T) {
	inBubble(t, func(r *rig) {
		id := r.submit(batch("job"))
		r.settle()
		r.fleet.answer(func(_ string, message wire.Message) {
			if ack, ok := message.(*wire.AckTaskEvent); ok && r.record(ack.TaskID).State != task.StateFinished {
				t.Errorf("acknowledged in state %s", r.record(ack.TaskID).State)
			}
		})
		for range 5 {
			r.report(id, wire.EventFinished)
			time.Sleep(commitTime / 4)
		}
		r.settle()
		r.expectState(id, task.StateFinished)
	})
}

// TestUnknownTaskEvent guards against a former owner that acknowledges the event of a task that was
// submitted after it lost the shard: the agent would forget the event before the owner has committed it.
func TestUnknownTaskEvent(t *testing.T) {
	inBubble(t, func(r *rig) {
		event := &wire.TaskEvent{TaskID: "batch/fleet/later", Attempt: 1, Type: wire.EventFinished, Session: task.Session{BootID: "boot-w0", Number: 1}}
		r.shard.setFail(ErrOwnershipLost)
		r.TaskEvent("w0", event)
		r.settle()
		if r.fleet.count("ack ") != 0 {
			t.Error("acknowledged without the shard")
		}
		r.shard.setFail(nil)
		r.TaskEvent("w0", event)
		r.settle()
		if r.fleet.count("ack ") != 1 {
			t.Error("an event of a dropped task is repeated for ever")
		}
	})
}

// TestUnknownRunningTask guards against a former owner that stops a task that was submitted after it
// lost the shard; an agent that has restarted does not know the newer epoch.
func TestUnknownRunningTask(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.shard.setFail(ErrOwnershipLost)
		r.WorkerConnected(r.fleet.change("w0", func(view *View) {
			view.Session.Number = 2
			view.Tasks = []wire.TaskStatus{{TaskID: "batch/fleet/later", Attempt: 1, Running: true}}
		}))
		r.settle()
		if r.fleet.count("stop ") != 0 {
			t.Error("stopped without the shard")
		}
		r.shard.setFail(nil)
		r.settle()
		if r.fleet.count("stop ") == 0 {
			t.Error("a task without a record keeps running")
		}
	})
}

// TestStaleEpochRefusal guards against moving a task because a former owner's Start was refused
// while the present owner's Start of the same attempt succeeds.
func TestStaleEpochRefusal(t *testing.T) {
	inBubble(t, func(r *rig) {
		id := r.submit(batch("job"))
		r.settle()
		record := r.record(id)
		r.TaskEvent(record.Worker, &wire.TaskEvent{
			TaskID: id, Attempt: 1, Type: wire.EventRefused, Refusal: wire.RefusalStaleEpoch, StaleEpoch: 4, Session: record.Session,
		})
		r.settle()
		r.expectState(id, task.StateAssigned)
		is.New(t).Equal(r.record(id).Attempt, uint32(1))
	})
}

// TestRefusal guards against a refused task that is given up.
func TestRefusal(t *testing.T) {
	inBubble(t, func(r *rig) {
		id := r.submit(batch("job"))
		r.settle()
		r.report(id, wire.EventRefused)
		r.settle()
		r.expectState(id, task.StateAssigned)
		is.New(t).Equal(r.record(id).Attempt, uint32(2))
	})
}

// TestLostWorker guards against moving a task before its worker is certainly lost, and against a
// second run of a non-idempotent task.
func TestLostWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		once := batch("once")
		once.NonIdempotent = true
		unconfirmed := once
		unconfirmed.Name = "unconfirmed"
		ids := []string{r.submit(batch("job")), r.submit(once), r.submit(unconfirmed)}
		r.settle()
		for _, id := range ids[:2] {
			r.report(id, wire.EventStarted)
		}
		r.settle()
		before := r.record(ids[0])
		for _, name := range []string{"w0", "w1", "w2"} {
			r.fleet.change(name, func(v *View) { v.Connected = false })
		}
		r.settle()
		r.expectState(ids[0], task.StateRunning)
		r.fleet.mu.Lock()
		r.fleet.lost[before.Worker+"/"+before.Session.BootID] = true
		for _, id := range ids[1:] {
			record := r.record(id)
			r.fleet.lost[record.Worker+"/"+record.Session.BootID] = true
		}
		r.fleet.mu.Unlock()
		r.settle()
		r.expectState(ids[0], task.StatePending)
		r.expectState(ids[1], task.StateUnknown)
		r.expectState(ids[2], task.StateUnknown)
		for _, name := range []string{"w0", "w1", "w2"} {
			r.fleet.change(name, func(v *View) { v.Connected, v.Session.BootID = true, "new" })
		}
		r.settle()
		r.expectState(ids[0], task.StateAssigned)
		r.expectState(ids[1], task.StateUnknown)
		is.Equal(r.record(ids[0]).Attempt, uint32(2))
	})
}

// TestNeverSent guards against giving up a non-idempotent task whose Start was certainly not sent,
// and against trusting a note of another epoch, in which another owner may have sent it.
func TestNeverSent(t *testing.T) {
	is := is.New(t)
	s := newSends()
	s.expect([]scheduler.Assignment{{TaskID: "x", Attempt: 1}}, 4)
	record := &task.Record{ID: "x", Attempt: 2, State: task.StateAssigned}
	is.True(!s.mayHaveStarted(record, 4))
	is.True(s.mayHaveStarted(record, 5))
	is.True(s.due(record, time.Now()))
	is.True(s.mayHaveStarted(record, 4))
}

// TestRecheck guards against committing an assignment that the record, the worker's session or the
// zone no longer permits.
func TestRecheck(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		view, _ := r.fleet.View("w0")
		apply := func(change func(*task.Record, *scheduler.Assignment)) bool {
			spec := batch("job")
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
	inBubble(t, func(r *rig) {
		is := is.New(t)
		size := batch("").Size
		view, _ := r.fleet.View("w0")
		view.Free = view.Capacity.Sub(size).Sub(size)
		view.Tasks = []wire.TaskStatus{
			{TaskID: "batch/fleet/own", Attempt: 1, Running: true, Size: size},
			{TaskID: "batch/fleet/ended", Attempt: 1, Running: true, Size: size},
			{TaskID: "batch/fleet/foreign", Attempt: 1, Running: true, Size: size, Class: "x"},
		}
		o := &owned{shards: map[uint16]Shard{0: r.shard}, holdings: map[string][]*task.Record{"w0": {
			{ID: "batch/fleet/own", Attempt: 1, State: task.StateRunning, Spec: task.Spec{Size: size}, StartedAt: view.HeardAt.Add(-time.Hour)},
			{ID: "batch/fleet/new", Attempt: 1, State: task.StateAssigned, Spec: task.Spec{Size: size}},
		}}}
		w := r.worker(&view, o, nil, time.Now())
		is.Equal(w.FreeLimit, view.Free.Sub(size))
		is.Equal(w.Neighbours, []scheduler.Neighbour{{Class: "x", Size: size}})
	})
}

// TestUrgentEvictsOnce guards against evicting again while the next heartbeat, which shows the room
// that the first eviction made, is on its way.
func TestUrgentEvictsOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		for _, name := range []string{"w1", "w2"} {
			r.fleet.change(name, func(v *View) { v.Connected = false })
		}
		var ids []string
		for i := range 4 {
			ids = append(ids, r.submit(batch(fmt.Sprintf("job%d", i))))
		}
		r.settle()
		for _, id := range ids {
			r.report(id, wire.EventStarted)
		}
		r.settle()
		r.fleet.change("w0", func(v *View) {
			for _, id := range ids {
				v.Tasks = append(v.Tasks, wire.TaskStatus{TaskID: id, Attempt: 1, Running: true, Size: batch("").Size})
			}
			v.Free, v.HeardAt = resource.Quantity{}, time.Now().Add(time.Minute)
		})
		urgent := batch("urgent")
		urgent.Priority = task.PriorityUrgent
		id := r.submit(urgent)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.fleet.count("evict"), 1)
		for _, victim := range ids {
			if r.record(victim).State == task.StateEvicting {
				r.report(victim, wire.EventEvicted)
			}
		}
		r.settle()
		r.expectState(id, task.StateAssigned)
		evicting := 0
		for _, victim := range ids {
			if r.record(victim).State != task.StateRunning {
				evicting++
			}
		}
		is.Equal(evicting, 1)
	})
}

// TestOtherBoot guards against a Start for an old boot that its replacement would refuse, which
// would free an attempt that may still run on the old boot.
func TestOtherBoot(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		id := r.submit(batch("job"))
		time.Sleep(300 * time.Millisecond)
		record := r.record(id)
		view := r.fleet.change(record.Worker, func(v *View) { v.Session = task.Session{BootID: "new", Number: 1} })
		r.WorkerConnected(view)
		sent := r.fleet.count("start")
		r.settle()
		is.Equal(r.fleet.count("start"), sent)
		r.expectState(id, task.StateAssigned)
		r.TaskEvent(record.Worker, &wire.TaskEvent{TaskID: id, Attempt: 1, Type: wire.EventRefused, Session: view.Session})
		r.settle()
		is.Equal(r.record(id).Attempt, uint32(1))
	})
}

// TestHello guards against a dead attempt that is waited for, a running one that is started again,
// an ended one whose event is overtaken, and an attempt that runs without a record.
func TestHello(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		for _, name := range []string{"w1", "w2"} {
			r.fleet.change(name, func(v *View) { v.Connected = false })
		}
		ids := []string{r.submit(batch("dead")), r.submit(batch("runs")), r.submit(batch("ended"))}
		r.settle()
		for _, id := range ids {
			r.report(id, wire.EventStarted)
		}
		r.settle()
		view := r.fleet.change("w0", func(v *View) {
			v.Session.Number, v.Free = 2, v.Capacity
			v.Tasks = []wire.TaskStatus{
				{TaskID: ids[1], Attempt: 1, Running: true},
				{TaskID: ids[2], Attempt: 1},
				{TaskID: "batch/fleet/orphan", Attempt: 3, Running: true},
			}
		})
		r.WorkerConnected(view)
		r.settle()
		is.Equal(r.record(ids[0]).Attempt, uint32(2))
		r.expectState(ids[1], task.StateRunning)
		is.Equal(r.record(ids[1]).Session.Number, uint64(2))
		r.expectState(ids[2], task.StateRunning)
		is.Equal(r.record(ids[2]).Session.Number, uint64(1))
		is.True(r.fleet.count("stop batch/fleet/orphan 3 on w0") >= 1)
		is.Equal(r.fleet.count("stop"), 1)
	})
}

// TestCancelRacesStart guards against a cancelled task that keeps running, and against a
// cancellation that hides a success that came first.
func TestCancelRacesStart(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		ids := []string{r.submit(batch("stopped")), r.submit(batch("finished"))}
		r.settle()
		for _, id := range ids {
			r.report(id, wire.EventStarted)
			record, err := r.Cancel(context.Background(), "c", id)
			is.NoErr(err)
			is.Equal(record.State, task.StateCancelling)
			_, err = r.Cancel(context.Background(), "c", id)
			is.NoErr(err)
		}
		r.settle()
		is.True(r.fleet.count("stop "+ids[0]+" 1") >= 1)
		r.report(ids[0], wire.EventStopped)
		r.report(ids[1], wire.EventFinished)
		r.settle()
		r.expectState(ids[0], task.StateCancelled)
		r.expectState(ids[1], task.StateFinished)
		_, err := r.Cancel(context.Background(), "c", ids[1])
		is.True(errors.Is(err, ErrFinal))
	})
}

// TestFaultyWorker guards against a worker that fails everything and keeps taking work.
func TestFaultyWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.fleet.answer(func(worker string, message wire.Message) {
			start, ok := message.(*wire.StartTask)
			if !ok {
				return
			}
			event := &wire.TaskEvent{TaskID: start.Order.TaskID, Attempt: start.Order.Attempt, Type: wire.EventFinished, Session: start.Order.Session}
			if worker == "w0" {
				event.Type = wire.EventFailed
			}
			r.TaskEvent(worker, event)
		})
		var ids []string
		for i := range 40 {
			ids = append(ids, r.submit(batch(fmt.Sprintf("job%d", i))))
		}
		time.Sleep(20 * time.Second)
		for _, id := range ids {
			r.expectState(id, task.StateFinished)
		}
		r.knowledge.mu.Lock()
		status := r.knowledge.health.Status("w0", time.Now())
		r.knowledge.mu.Unlock()
		if failures := r.fleet.count("ack"); status != scheduler.HealthQuarantined || failures > 46 {
			t.Fatalf("status %d after %d events", status, failures)
		}
	})
}

// TestSubmit guards against a task that is accepted twice, that could never run, or that belongs to
// another entry.
func TestSubmit(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		ctx := context.Background()
		id := r.submit(batch("job"))
		is.Equal(r.submit(batch("job")), id)
		other := batch("job")
		other.Class = "bend-plan"
		_, err := r.Submit(ctx, "r", other)
		is.True(errors.Is(err, ErrAlreadyExists))
		huge := batch("huge")
		huge.Size.MilliCPU = 5000
		_, err = r.Submit(ctx, "r", huge)
		var infeasible *scheduler.InfeasibleError
		is.True(errors.As(err, &infeasible))
		is.Equal(infeasible.Filtered, []scheduler.FilterCount{{Reason: scheduler.ReasonProcessors, Workers: 3}})
		stranger := batch("job")
		stranger.Team = "nobody"
		_, err = r.Submit(ctx, "r", stranger)
		var invalid *task.InvalidSpecError
		is.True(errors.As(err, &invalid))
		r.configure(func(d *configuration.Document) { d.Teams[0].Quota = resource.Quantity{MilliCPU: 500} })
		_, err = r.Submit(ctx, "r", batch("over"))
		var quota ErrQuotaTooSmall
		is.True(errors.As(err, &quota))
		r.configure(func(d *configuration.Document) { d.Teams[0].Quota = resource.Quantity{} })
		r.shard.setFail(ErrShardFull)
		_, err = r.Submit(ctx, "r", batch("full"))
		is.True(errors.Is(err, ErrResourceExhausted))
		r.shard.setFail(nil)
		listed, err := r.List(ctx, Filter{Team: "fleet"}, "", 10)
		is.NoErr(err)
		is.Equal(len(listed), 1)
		entry := "e2"
		r.shards.other.Store(&entry)
		_, err = r.Submit(ctx, "r", batch("job"))
		var owner ErrNotOwner
		is.True(errors.As(err, &owner))
		is.Equal(owner.Entry, "e2")
	})
}

// TestServices guards against missing and surplus replicas, and against a recreated replica whose
// attempt number an agent's tombstone would refuse.
func TestServices(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		service := configuration.Service{
			Name: "rail", Team: "fleet", Class: "rail", Replicas: 2,
			Size: resource.Quantity{MilliCPU: 1000, MemoryBytes: 1 << 30},
		}
		with := func(d *configuration.Document) { d.Services = []configuration.Service{service} }
		r.configure(with)
		r.settle()
		first := ReplicaID(&service, 0)
		r.expectState(first, task.StateAssigned)
		r.expectState(ReplicaID(&service, 1), task.StateAssigned)
		r.report(first, wire.EventFailed)
		r.settle()
		r.expectState(first, task.StateAssigned)
		r.configure(func(d *configuration.Document) { d.Services = nil })
		r.settle()
		r.expectState(first, task.StateCancelling)
		r.report(first, wire.EventStopped)
		r.settle()
		r.expectState(first, task.StateCancelled)
		r.configure(with)
		r.settle()
		r.expectState(first, task.StateAssigned)
		is.Equal(r.record(first).Attempt, uint32(3))
	})
}

// TestZoneLeaving guards against a start in a zone out of service and against tasks that stay there.
func TestZoneLeaving(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		id := r.submit(batch("job"))
		r.settle()
		r.report(id, wire.EventStarted)
		r.settle()
		from := r.record(id).Worker
		view, _ := r.fleet.View(from)
		r.configure(func(d *configuration.Document) {
			for i := range d.Zones {
				d.Zones[i].OutOfService = d.Zones[i].Name == view.Zone
			}
		})
		r.settle()
		r.expectState(id, task.StateEvicting)
		is.True(r.fleet.count("evict "+id+" 1 on "+from) >= 1)
		r.report(id, wire.EventEvicted)
		r.settle()
		r.expectState(id, task.StateAssigned)
		is.True(r.record(id).Worker != from)
		is.Equal(r.record(id).Checkpoint, "c1")
	})
}

// TestWatch guards against a watcher that misses the last state.
func TestWatch(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		id := r.submit(batch("job"))
		ctx, cancel := context.WithCancel(context.Background())
		updates, err := r.Watch(ctx, id)
		is.NoErr(err)
		is.Equal((<-updates).State, task.StatePending)
		is.Equal((<-updates).State, task.StateAssigned)
		r.report(id, wire.EventFinished)
		is.Equal((<-updates).State, task.StateFinished)
		cancel()
		for range updates {
			t.Error("update after the end")
		}
	})
}

// TestLearns guards against usage reports that have no effect on sizes and interference.
func TestLearns(t *testing.T) {
	inBubble(t, func(r *rig) {
		is := is.New(t)
		for i := range 30 {
			speed := 10 * (1 + i%2)
			tasks := []wire.TaskStatus{{
				TaskID: "batch/fleet/job", Attempt: 1, Running: true, Class: "certificate", ProgressPermille: i*30 - speed,
				Size: batch("job").Size, Usage: resource.Quantity{MilliCPU: 2000, MemoryBytes: 1 << 30},
			}}
			if i%2 == 0 {
				tasks = append(tasks, wire.TaskStatus{TaskID: "batch/fleet/n", Attempt: 1, Running: true, Class: "noisy"})
			}
			r.Usage("w0", &wire.Usage{Tasks: tasks})
			time.Sleep(5 * time.Second)
		}
		is.True(len(r.Interference().Pairs) > 0)
		declared := batch("job").Size
		is.Equal(r.knowledge.sizes.Correct("fleet", "certificate", declared).MilliCPU, int64(2000))
	})
}
