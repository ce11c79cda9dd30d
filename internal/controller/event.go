package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

// maxEventBatch is the maximum number of events per commit.
const maxEventBatch = 512

// errIgnored reports an event that never changes a record: a refusal for a stale epoch or an event
// of an unknown type.
var errIgnored = errors.New("controller: event has no effect")

type queuedEvent struct {
	worker string
	event  *wire.TaskEvent
}

// HandleTaskEvent queues an event without blocking. If the queue is full, the event is dropped and the
// agent resends it.
func (c *Controller) HandleTaskEvent(worker string, event *wire.TaskEvent) {
	select {
	case c.events <- queuedEvent{worker, event}:
	default:
		droppedEvents.Inc()
	}
}

// eventLoop commits the effects of events in batches and then acknowledges the events.
func (c *Controller) eventLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.events:
			c.handleEventBatch(ctx, c.collectBatch(first))
		}
	}
}

// collectBatch returns the event and further queued events in the order of arrival, at most
// maxEventBatch in total.
func (c *Controller) collectBatch(first queuedEvent) []queuedEvent {
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

func (c *Controller) handleEventBatch(ctx context.Context, events []queuedEvent) {
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
	// before and after are the task's records. before is nil if the task has no record, after is nil
	// if the event changed nothing.
	before, after *task.Record
	// futureAttempt reports that the event's attempt is newer than the recorded one.
	futureAttempt bool
}

// commitEvents commits the effects and then acknowledges the events, including those without
// effect. A batch without effect on the durable records needs no commit, unless one of its tasks has
// no record: a former owner that has not noticed the loss of the shard lacks the tasks submitted
// since. In that case the commit confirms that this entry still owns the shard.
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

// applyEvents applies the events to the records in order. Changed records are stored in target,
// which may be the same map as tasks, or nil.
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
	result.futureAttempt = queued.event.Attempt > record.Attempt
	after := record.Clone()
	if err := applyTransition(after, queued, now); err == nil {
		result.after = after
	}
	return result
}

func applyTransition(record *task.Record, queued queuedEvent, now time.Time) error {
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
		return applyRefusal(record, origin, event, now)
	default:
		return errIgnored
	}
}

// applyRefusal applies a refusal. A refusal for a stale epoch is ignored: it answers a former
// owner's message, and the current owner's message may still start the same attempt.
func applyRefusal(record *task.Record, origin task.Origin, event *wire.TaskEvent, now time.Time) error {
	if event.Refusal == wire.RefusalStaleEpoch {
		return errIgnored
	}
	return record.Refused(origin, refusalName(event.Refusal)+" "+event.Detail, now)
}

// acknowledge tells the agent not to resend the event. An event of an attempt newer than the
// recorded one is not acknowledged.
func (c *Controller) acknowledge(e *effect) {
	if e.futureAttempt {
		return
	}
	ack := &wire.AckTaskEvent{TaskID: e.event.TaskID, Attempt: e.event.Attempt, Type: e.event.Type}
	if err := c.fleet.Send(e.worker, ack); err != nil {
		c.logger.Debug("failed to send the acknowledgement of a task event", "task", e.event.TaskID, "worker", e.worker, "err", err)
	}
}
