package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// reconcileInterval is the time between attempts after a failed commit.
	reconcileInterval = time.Second
	// reconcilePause gathers the Hellos of a wave of reconnections in one commit.
	reconcilePause = 50 * time.Millisecond
)

// WorkerConnected notes a Hello for the reconciliation. It does not block.
func (c *Controller) WorkerConnected(view View) {
	if c.hellos.put(view) {
		c.workerReplaced(view.Name)
	}
	wake(c.reconcileWake)
	wake(c.planWake)
}

// workerReplaced forgets the failures of a former boot.
func (c *Controller) workerReplaced(worker string) {
	c.knowledge.mu.Lock()
	defer c.knowledge.mu.Unlock()
	c.knowledge.health.Forget(worker)
}

// WorkerDisconnected has no effect: a lost link alone says nothing about the tasks of a worker.
func (c *Controller) WorkerDisconnected(string, string) {}

// reconcileLoop compares each Hello with the records of each owned shard, once per epoch.
func (c *Controller) reconcileLoop(ctx context.Context) error {
	return repeat(ctx, reconcileInterval, reconcilePause, c.reconcileWake, c.reconcile)
}

func (c *Controller) reconcile(ctx context.Context) {
	c.hellos.retain(func(worker string) bool {
		_, known := c.fleet.View(worker)
		return known
	})
	for _, shard := range c.shards.Owned() {
		epoch := shard.Epoch()
		waiting := c.hellos.waiting(shard.ID(), epoch)
		for index := range waiting {
			if c.reconcileWorker(ctx, shard, &waiting[index]) {
				c.hellos.finish(&waiting[index], shard.ID(), epoch)
			}
		}
	}
}

// reconcileWorker applies one Hello to one shard and reports whether that is done.
func (c *Controller) reconcileWorker(ctx context.Context, shard Shard, view *View) bool {
	records := shard.Snapshot()
	listed := map[string]*wire.TaskStatus{}
	for index := range view.Tasks {
		status := &view.Tasks[index]
		if c.shardOf(status.TaskID) == shard.ID() {
			if status.Running && records[status.TaskID] == nil && !c.certainlyUnknown(ctx, shard, status.TaskID) {
				return false
			}
			c.stopUnrecorded(shard, records[status.TaskID], view, status)
			if known, ok := listed[status.TaskID]; !ok || status.Attempt > known.Attempt {
				listed[status.TaskID] = status
			}
		}
	}
	var changes []sessionChange
	for _, record := range records {
		if change, ok := c.sessionChange(shard, record, view, listed[record.ID]); ok {
			changes = append(changes, change)
		}
	}
	return len(changes) == 0 || c.commitSessionChanges(ctx, shard, changes)
}

// certainlyUnknown confirms by a commit that the task has no record. A former owner that has not noticed
// the loss of the shard does not know the tasks submitted since, and must not stop them.
func (c *Controller) certainlyUnknown(ctx context.Context, shard Shard, taskID string) bool {
	unknown := false
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		unknown = tasks[taskID] == nil
		return nil
	})
	return err == nil && unknown
}

// sessionChange is what a Hello of a newer session means for one record.
type sessionChange struct {
	taskID  string
	origin  task.Origin // as recorded
	session task.Session
	// adopted: the new session holds the running attempt. Otherwise the attempt is dead.
	adopted        bool
	mayHaveStarted bool
}

// sessionChange compares a record with a Hello of a newer session of the same boot. A listed
// attempt that has ended is left alone: its event follows.
func (c *Controller) sessionChange(shard Shard, record *task.Record, view *View, status *wire.TaskStatus) (sessionChange, bool) {
	newer := record.HoldsWorker() && record.Worker == view.Name &&
		record.Session.BootID == view.Session.BootID && record.Session.Number < view.Session.Number
	if !newer {
		return sessionChange{}, false
	}
	change := sessionChange{
		taskID: record.ID, session: view.Session,
		origin:         task.Origin{Worker: record.Worker, Attempt: record.Attempt, Session: record.Session},
		mayHaveStarted: c.sends.mayHaveStarted(record, shard.Epoch()),
	}
	if status == nil || status.Attempt != record.Attempt {
		return change, true
	}
	change.adopted = true
	return change, status.Running
}

func (c *Controller) commitSessionChanges(ctx context.Context, shard Shard, changes []sessionChange) bool {
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		applied := 0
		for _, change := range changes {
			if applySessionChange(tasks, &change, time.Now()) {
				applied++
			}
		}
		if applied == 0 {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil && !errors.Is(err, errNothingToCommit) {
		c.logger.Warn("reconciliation was not committed", "shard", shard.ID(), "changes", len(changes), "err", err)
		return false
	}
	return err == nil
}

func applySessionChange(tasks map[string]*task.Record, change *sessionChange, now time.Time) bool {
	record, ok := tasks[change.taskID]
	if !ok || record.Session != change.origin.Session {
		return false
	}
	changed := record.Clone()
	var err error
	if change.adopted {
		adopter := change.origin
		adopter.Session = change.session
		err = changed.SessionAdopted(adopter, now)
	} else {
		err = changed.WorkerLost(change.origin, change.mayHaveStarted, now)
	}
	if err != nil {
		return false
	}
	tasks[change.taskID] = changed
	return true
}

// stopUnrecorded stops a running attempt that the durable record has ended, replaced or placed
// elsewhere. An attempt above the recorded one means that the snapshot is old, not the attempt.
func (c *Controller) stopUnrecorded(shard Shard, record *task.Record, view *View, status *wire.TaskStatus) {
	if !status.Running || !superseded(record, view, status) {
		return
	}
	c.logger.Warn("stopping an attempt that is not recorded", "task", status.TaskID, "attempt", status.Attempt, "worker", view.Name)
	stop := &wire.StopTask{Order: wire.Order{
		TaskID: status.TaskID, Attempt: status.Attempt, Shard: shard.ID(), Epoch: shard.Epoch(), Session: view.Session,
	}}
	if err := c.fleet.Send(view.Name, stop); err != nil {
		c.logger.Debug("stop was not sent", "task", status.TaskID, "worker", view.Name, "err", err)
	}
}

func superseded(record *task.Record, view *View, status *wire.TaskStatus) bool {
	switch {
	case record == nil || status.Attempt < record.Attempt:
		return true
	case status.Attempt > record.Attempt:
		return false
	default:
		return !record.HoldsWorker() || record.Worker != view.Name
	}
}
