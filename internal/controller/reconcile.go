package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// reconcileInterval is the time after which a reconciliation is retried if its commit failed.
	reconcileInterval = time.Second
	// reconcilePause is the minimum time between reconciliations, so that the Hellos of many workers
	// that reconnect at once are handled together.
	reconcilePause = 50 * time.Millisecond
)

// WorkerConnected stores the worker's Hello and triggers its reconciliation. It does not block.
func (c *Controller) WorkerConnected(view View) {
	if c.hellos.put(view) {
		c.resetWorkerHealth(view.Name)
	}
	wake(c.reconcileWake)
	wake(c.planWake)
}

// resetWorkerHealth removes the failures that were counted for a worker's former boot.
func (c *Controller) resetWorkerHealth(worker string) {
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	c.learned.health.RemoveWorker(worker)
}

// WorkerDisconnected has no effect: the worker's tasks may still run after its link is lost.
func (c *Controller) WorkerDisconnected(string, string) {}

// reconcileLoop compares each Hello with the records of each owned shard, once per epoch.
func (c *Controller) reconcileLoop(ctx context.Context) error {
	return runPeriodically(ctx, reconcileInterval, reconcilePause, c.reconcileWake, c.reconcile)
}

func (c *Controller) reconcile(ctx context.Context) {
	c.hellos.retainWorkers(func(worker string) bool {
		_, known := c.fleet.View(worker)
		return known
	})
	for _, shard := range c.shards.Owned() {
		epoch := shard.Epoch()
		views := c.hellos.unreconciled(shard.ID(), epoch)
		for index := range views {
			if c.reconcileWorker(ctx, shard, &views[index]) {
				c.hellos.markReconciled(&views[index], shard.ID(), epoch)
			}
		}
	}
}

// reconcileWorker applies one Hello to one shard. It returns false if that must be retried.
func (c *Controller) reconcileWorker(ctx context.Context, shard Shard, view *View) bool {
	records := shard.Snapshot()
	listed := map[string]*wire.TaskStatus{}
	for index := range view.Tasks {
		status := &view.Tasks[index]
		if c.shardOf(status.TaskID) == shard.ID() {
			if status.Running && records[status.TaskID] == nil && !c.confirmNoRecord(ctx, shard, status.TaskID) {
				return false
			}
			c.stopSuperseded(shard, records[status.TaskID], view, status)
			if previous, ok := listed[status.TaskID]; !ok || status.Attempt > previous.Attempt {
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

// confirmNoRecord reports whether a commit confirms that the task has no record. Without the commit,
// a former owner that has not noticed the loss of the shard would stop tasks submitted since.
func (c *Controller) confirmNoRecord(ctx context.Context, shard Shard, taskID string) bool {
	missing := false
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		missing = tasks[taskID] == nil
		return nil
	})
	return err == nil && missing
}

// sessionChange is the change to one record that follows from a Hello of a newer session.
type sessionChange struct {
	taskID  string
	origin  task.Origin // as recorded
	session task.Session
	// adopted reports that the new session still runs the attempt. Otherwise the attempt is lost.
	adopted        bool
	mayHaveStarted bool
}

// sessionChange compares a record with a Hello of a newer session of the same boot. It returns false
// if the record needs no change. That includes a listed attempt that has ended, since the agent
// sends its event separately.
func (c *Controller) sessionChange(shard Shard, record *task.Record, view *View, status *wire.TaskStatus) (sessionChange, bool) {
	newer := record.HasAssignment() && record.Worker == view.Name &&
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
		c.logger.Warn("failed to commit a reconciliation", "shard", shard.ID(), "changes", len(changes), "err", err)
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

// stopSuperseded stops a running attempt that has no record, or whose durable record has ended, has
// a newer attempt or names another worker.
func (c *Controller) stopSuperseded(shard Shard, record *task.Record, view *View, status *wire.TaskStatus) {
	if !status.Running || !isSuperseded(record, view, status) {
		return
	}
	c.logger.Warn("stopping a superseded attempt", "task", status.TaskID, "attempt", status.Attempt, "worker", view.Name)
	stop := &wire.StopTask{Order: wire.Order{
		TaskID: status.TaskID, Attempt: status.Attempt, Shard: shard.ID(), Epoch: shard.Epoch(), Session: view.Session,
	}}
	if err := c.fleet.Send(view.Name, stop); err != nil {
		c.logger.Debug("failed to send a stop message", "task", status.TaskID, "worker", view.Name, "err", err)
	}
}

// isSuperseded reports whether an attempt is not the recorded one. An attempt newer than the recorded
// one is not superseded: in that case the snapshot is outdated.
func isSuperseded(record *task.Record, view *View, status *wire.TaskStatus) bool {
	switch {
	case record == nil || status.Attempt < record.Attempt:
		return true
	case status.Attempt > record.Attempt:
		return false
	default:
		return !record.HasAssignment() || record.Worker != view.Name
	}
}
