package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// maxEventBatch bounds the events of one commit.
const maxEventBatch = 512

// errIgnored reports an event that has no effect by its content.
var errIgnored = errors.New("controller: event has no effect")

type queuedEvent struct {
	worker string
	event  *wire.TaskEvent
}

// TaskEvent queues an event. It does not block: if the queue is full the event is dropped, and the
// agent repeats it.
func (c *Controller) TaskEvent(worker string, event *wire.TaskEvent) {
	select {
	case c.events <- queuedEvent{worker, event}:
	default:
		droppedEvents.Inc()
	}
}

// eventLoop commits the effects of events in batches and acknowledges them afterwards.
func (c *Controller) eventLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.events:
			c.handleEvents(ctx, c.batch(first))
		}
	}
}

// batch returns the event with those that already wait, in the order of arrival.
func (c *Controller) batch(first queuedEvent) []queuedEvent {
	events := []queuedEvent{first}
	for len(events) < maxEventBatch {
		select {
		case next := <-c.events:
			events = append(events, next)
		default:
			return events
		}
	}
	return events
}

func (c *Controller) handleEvents(ctx context.Context, events []queuedEvent) {
	byShard := map[uint16][]queuedEvent{}
	for _, queued := range events {
		id := c.shardOf(queued.event.TaskID)
		byShard[id] = append(byShard[id], queued)
	}
	var commits conc.WaitGroup
	for id, part := range byShard {
		// An entry that does not own the shard ignores the event; the owner receives it as well.
		if shard, ok := c.shards.Shard(id); ok {
			commits.Go(func() { c.commitEvents(ctx, shard, part) })
		}
	}
	commits.Wait()
}

// effect is the outcome of one event.
type effect struct {
	queuedEvent
	// before and after are the records; after is nil if the event changed nothing.
	before, after *task.Record
	// ahead says that the event belongs to an attempt that the record does not know yet.
	ahead bool
}

// commitEvents commits the effects and then acknowledges all events, including those without
// effect. Events without effect on the durable records need no commit, unless their task is not known:
// a former owner that has not noticed the loss of the shard does not know the tasks submitted since.
// The commit shows that the shard is still owned.
func (c *Controller) commitEvents(ctx context.Context, shard Shard, events []queuedEvent) {
	effects := applyEvents(shard.Snapshot(), events, time.Now(), nil)
	if needsCommit(effects) {
		err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
			effects = applyEvents(tasks, events, time.Now(), tasks)
			return nil
		})
		if err != nil {
			c.logger.Warn("task events were not committed", "shard", shard.ID(), "events", len(events), "err", err)
			return
		}
	}
	for index := range effects {
		c.recordEffect(&effects[index])
		c.acknowledge(&effects[index])
	}
}

func needsCommit(effects []effect) bool {
	for index := range effects {
		if effects[index].after != nil || effects[index].before == nil {
			return true
		}
	}
	return false
}

// applyEvents applies events one after the other to the records. Changed records are stored in
// target, which may be the same map or nil.
func applyEvents(tasks map[string]*task.Record, events []queuedEvent, now time.Time, target map[string]*task.Record) []effect {
	changed := map[string]*task.Record{}
	effects := make([]effect, 0, len(events))
	for _, queued := range events {
		record, ok := changed[queued.event.TaskID]
		if !ok {
			record = tasks[queued.event.TaskID]
		}
		result := applyEvent(record, queued, now)
		if result.after != nil {
			changed[result.after.ID] = result.after
		}
		effects = append(effects, result)
	}
	if target != nil {
		for id, record := range changed {
			target[id] = record
		}
	}
	return effects
}

func applyEvent(record *task.Record, queued queuedEvent, now time.Time) effect {
	result := effect{queuedEvent: queued, before: record}
	if record == nil {
		return result
	}
	result.ahead = queued.event.Attempt > record.Attempt
	after := record.Clone()
	if err := transition(after, queued, now); err == nil {
		result.after = after
	}
	return result
}

func transition(record *task.Record, queued queuedEvent, now time.Time) error {
	event := queued.event
	origin := task.Origin{Worker: queued.worker, Attempt: event.Attempt, Session: event.Session}
	switch event.Type {
	case wire.EventStarted:
		return record.Started(origin, now)
	case wire.EventFinished:
		return record.Finished(origin, event.Result, now)
	case wire.EventFailed:
		return record.Failed(origin, event.Detail, now)
	case wire.EventEvicted:
		return record.Evicted(origin, event.Checkpoint, event.ProgressPermille, now)
	case wire.EventStopped:
		return record.Stopped(origin, now)
	case wire.EventRefused:
		return refused(record, origin, event, now)
	default:
		return errIgnored
	}
}

// refused applies a refusal. One for a stale epoch concerns the message of a former owner; the
// same attempt may be started by the present owner's message, so it has no effect.
func refused(record *task.Record, origin task.Origin, event *wire.TaskEvent, now time.Time) error {
	if event.Refusal == wire.RefusalStaleEpoch {
		return errIgnored
	}
	return record.Refused(origin, refusalName(event.Refusal)+" "+event.Detail, now)
}

// acknowledge tells the agent that the event needs no repetition.
func (c *Controller) acknowledge(e *effect) {
	if e.ahead {
		return
	}
	ack := &wire.AckTaskEvent{TaskID: e.event.TaskID, Attempt: e.event.Attempt, Type: e.event.Type}
	if err := c.fleet.Send(e.worker, ack); err != nil {
		c.logger.Debug("acknowledgement was not sent", "task", e.event.TaskID, "worker", e.worker, "err", err)
	}
}
