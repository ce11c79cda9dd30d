package controller

import (
	"context"
	"time"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// sendInterval is the time between passes over the assignments.
	sendInterval = 200 * time.Millisecond
	// sendPause bounds the passes after commits.
	sendPause = 10 * time.Millisecond
)

// sendLoop derives the messages to workers from the durable records: an assigned task is to be
// started, an evicting one to be evicted, a cancelling one to be stopped. What was committed by an
// earlier owner or with a lost answer is therefore sent as well.
func (c *Controller) sendLoop(ctx context.Context) error {
	return repeat(ctx, sendInterval, sendPause, c.sendWake, c.sendDue)
}

func (c *Controller) sendDue(context.Context) {
	now := time.Now()
	held := map[string]struct{}{}
	for _, shard := range c.shards.Owned() {
		for id, record := range shard.Snapshot() {
			if record.HoldsWorker() {
				held[id] = struct{}{}
				c.sendFor(shard, record, now)
			}
		}
	}
	c.sends.retain(held)
}

func (c *Controller) sendFor(shard Shard, record *task.Record, now time.Time) {
	message := messageFor(shard, record)
	if message == nil {
		return
	}
	// Another boot is another worker: it must not answer for attempts of the old boot.
	view, ok := c.fleet.View(record.Worker)
	if !ok || !view.Connected || view.Session.BootID != record.Session.BootID {
		return
	}
	if !c.sends.due(record, now) {
		return
	}
	if err := c.fleet.Send(record.Worker, message); err != nil {
		c.logger.Debug("message was not sent", "task", record.ID, "worker", record.Worker, "err", err)
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
