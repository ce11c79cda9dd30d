package controller

import (
	"context"
	"time"

	"clementineflow/internal/task"
)

const (
	// lostInterval is the time between checks of workers that hold tasks and are not connected.
	lostInterval = 500 * time.Millisecond
	// provenRunTime is the run time after which a task counts as a success of its worker.
	provenRunTime = time.Minute
)

// boot identifies one boot of a worker.
type boot struct{ worker, bootID string }

// lostLoop moves tasks off workers that are certainly lost.
func (c *Controller) lostLoop(ctx context.Context) error {
	return repeat(ctx, lostInterval, 0, nil, c.checkLost)
}

func (c *Controller) checkLost(ctx context.Context) {
	c.proveWorkers()
	verdicts := map[boot]bool{}
	for _, shard := range c.shards.Owned() {
		var gone []*task.Record
		for _, record := range shard.Snapshot() {
			if record.HoldsWorker() && c.isLost(verdicts, boot{record.Worker, record.Session.BootID}) {
				gone = append(gone, record)
			}
		}
		if len(gone) > 0 {
			c.moveLost(ctx, shard, gone)
		}
	}
}

// isLost asks about each boot once per pass. A connected worker of the same boot is not lost.
func (c *Controller) isLost(verdicts map[boot]bool, b boot) bool {
	verdict, ok := verdicts[b]
	if ok {
		return verdict
	}
	view, known := c.fleet.View(b.worker)
	connected := known && view.Connected && view.Session.BootID == b.bootID
	verdict = !connected && c.fleet.Lost(b.worker, b.bootID)
	verdicts[b] = verdict
	return verdict
}

func (c *Controller) moveLost(ctx context.Context, shard Shard, gone []*task.Record) {
	epoch := shard.Epoch()
	moved := 0
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		moved = 0
		for _, seen := range gone {
			if c.applyLost(tasks, seen, epoch) {
				moved++
			}
		}
		if moved == 0 {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil {
		c.logger.Warn("tasks of a lost worker were not moved", "shard", shard.ID(), "tasks", len(gone), "err", err)
		return
	}
	lostTotal.Add(moved)
	for _, record := range gone {
		c.logger.Info("worker lost", "task", record.ID, "attempt", record.Attempt, "worker", record.Worker)
		c.decisions.add(record.ID, Decision{At: time.Now(), Action: "worker lost", Worker: record.Worker, Reason: "every entry denies the worker"})
	}
}

// applyLost re-checks that the record still has the assignment that was found lost.
func (c *Controller) applyLost(tasks map[string]*task.Record, seen *task.Record, epoch uint64) bool {
	record, ok := tasks[seen.ID]
	if !ok {
		return false
	}
	changed := record.Clone()
	origin := task.Origin{Worker: seen.Worker, Attempt: seen.Attempt, Session: seen.Session}
	if err := changed.WorkerLost(origin, c.sends.mayHaveStarted(record, epoch), time.Now()); err != nil {
		return false
	}
	tasks[seen.ID] = changed
	return true
}

// proveWorkers counts long-running tasks as successes of their workers; watches never finish.
func (c *Controller) proveWorkers() {
	now := time.Now()
	c.knowledge.mu.Lock()
	defer c.knowledge.mu.Unlock()
	for _, shard := range c.shards.Owned() {
		for _, record := range shard.Snapshot() {
			if record.State == task.StateRunning && now.Sub(record.StartedAt) >= provenRunTime {
				c.knowledge.health.Succeeded(record.Worker, record.StartedAt)
			}
		}
	}
}
