package controller

import (
	"context"
	"time"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// sendInterval is the maximum time between passes over the assigned tasks.
	sendInterval = 200 * time.Millisecond
	// sendPause is the minimum time between passes. It limits their number when commits follow closely.
	sendPause = 10 * time.Millisecond
)

// sendLoop derives the messages to workers from the durable records: a start for an assigned task, an
// eviction for an evicting one and a stop for a cancelling one. Messages are therefore also sent for
// changes that a former owner committed, and for commits whose reply was lost.
func (c *Controller) sendLoop(ctx context.Context) error {
	return runPeriodically(ctx, sendInterval, sendPause, c.sendWake, c.sendDueMessages)
}

func (c *Controller) sendDueMessages(context.Context) {
	now := time.Now()
	held := map[string]struct{}{}
	for _, shard := range c.shards.Owned() {
		for id, record := range shard.Snapshot() {
			if record.HasAssignment() {
				held[id] = struct{}{}
				c.sendMessage(shard, record, now)
			}
		}
	}
	c.sends.retainTasks(held)
}

func (c *Controller) sendMessage(shard Shard, record *task.Record, now time.Time) {
	message := messageFor(shard, record)
	if message == nil {
		return
	}
	// A new boot must not get messages for attempts of the old boot: it would refuse them, although
	// the old boot may still run the attempt.
	view, ok := c.fleet.View(record.Worker)
	if !ok || !view.Connected || view.Session.BootID != record.Session.BootID {
		return
	}
	if !c.sends.markSentIfDue(record, now) {
		return
	}
	if err := c.fleet.Send(record.Worker, message); err != nil {
		c.logger.Debug("failed to send a message to a worker", "task", record.ID, "worker", record.Worker, "err", err)
	}
}

func messageFor(shard Shard, record *task.Record) wire.Message {
	order := wire.Order{
		TaskID: record.ID, Attempt: record.Attempt, Shard: shard.ID(), Epoch: shard.Epoch(), Session: record.Session,
	}
	switch record.State {
	case task.StateAssigned:
		spec := &record.Spec
		return &wire.StartTask{
			Order: order, TaskKind: spec.Kind, Class: spec.Class, Service: spec.Service, Size: spec.Size,
			Payload: spec.Payload, Checkpoint: record.Checkpoint,
		}
	case task.StateEvicting:
		return &wire.EvictTask{Order: order}
	case task.StateCancelling:
		return &wire.StopTask{Order: order}
	default:
		return nil
	}
}
