package controller

import (
	"context"
	"time"

	"clementineflow/internal/task"
)

const (
	// lostInterval is the time between checks for lost workers among those that hold tasks and are not
	// connected.
	lostInterval = 500 * time.Millisecond
	// successRunTime is the run time after which a running task counts as a success of its worker.
	successRunTime = time.Minute
)

// workerBoot identifies one boot of a worker.
type workerBoot struct{ worker, bootID string }

// lostLoop ends the assignments of tasks whose workers are certainly lost.
func (c *Controller) lostLoop(ctx context.Context) error {
	return runPeriodically(ctx, lostInterval, 0, nil, c.releaseLostTasks)
}

func (c *Controller) releaseLostTasks(ctx context.Context) {
	c.countLongRunsAsSuccess()
	lostByBoot := map[workerBoot]bool{}
	for _, shard := range c.shards.Owned() {
		var affected []*task.Record
		for _, record := range shard.Snapshot() {
			if record.HasAssignment() && c.isLost(lostByBoot, workerBoot{record.Worker, record.Session.BootID}) {
				affected = append(affected, record)
			}
		}
		if len(affected) > 0 {
			c.commitWorkerLoss(ctx, shard, affected)
		}
	}
}

// isLost reports whether a boot of a worker is lost. A boot that is connected is not lost. Results
// are cached in lostByBoot, so that the fleet is queried once per boot and pass.
func (c *Controller) isLost(lostByBoot map[workerBoot]bool, b workerBoot) bool {
	lost, ok := lostByBoot[b]
	if ok {
		return lost
	}
	view, known := c.fleet.View(b.worker)
	connected := known && view.Connected && view.Session.BootID == b.bootID
	lost = !connected && c.fleet.IsLost(b.worker, b.bootID)
	lostByBoot[b] = lost
	return lost
}

func (c *Controller) commitWorkerLoss(ctx context.Context, shard Shard, affected []*task.Record) {
	epoch := shard.Epoch()
	applied := 0
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		applied = 0
		for _, lost := range affected {
			if c.applyWorkerLoss(tasks, lost, epoch) {
				applied++
			}
		}
		if applied == 0 {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil {
		c.logger.Warn("failed to release the tasks of a lost worker", "shard", shard.ID(), "tasks", len(affected), "err", err)
		return
	}
	lostTotal.Add(applied)
	for _, record := range affected {
		c.logger.Info("worker lost", "task", record.ID, "attempt", record.Attempt, "worker", record.Worker)
		c.decisions.add(record.ID, Decision{
			At: time.Now(), Action: "worker lost", Worker: record.Worker, Reason: "every entry denies the worker",
		})
	}
}

// applyWorkerLoss ends the lost assignment if the record still has it, and reports whether it did.
func (c *Controller) applyWorkerLoss(tasks map[string]*task.Record, lost *task.Record, epoch uint64) bool {
	record, ok := tasks[lost.ID]
	if !ok {
		return false
	}
	changed := record.Clone()
	origin := task.Origin{Worker: lost.Worker, Attempt: lost.Attempt, Session: lost.Session}
	if err := changed.WorkerLost(origin, c.sends.mayHaveStarted(record, epoch), time.Now()); err != nil {
		return false
	}
	tasks[lost.ID] = changed
	return true
}

// countLongRunsAsSuccess counts long-running tasks as successes of their workers, since tasks such as
// watches never finish.
func (c *Controller) countLongRunsAsSuccess() {
	now := time.Now()
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	for _, shard := range c.shards.Owned() {
		for _, record := range shard.Snapshot() {
			if record.State == task.StateRunning && now.Sub(record.StartedAt) >= successRunTime {
				c.learned.health.RecordSuccess(record.Worker, record.StartedAt)
			}
		}
	}
}
