package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
)

const (
	// planInterval is the maximum time between plans. It equals the interval of worker reports.
	planInterval = time.Second
	// planPause is the minimum time between plans, one group-commit interval.
	planPause = 100 * time.Millisecond
)

// planLoop plans for all owned shards together, since tasks of different shards share workers.
func (c *Controller) planLoop(ctx context.Context) error {
	return runPeriodically(ctx, planInterval, planPause, c.planWake, c.planAndCommit)
}

func (c *Controller) planAndCommit(ctx context.Context) {
	o := c.collectOwnedTasks()
	if !c.needsPlan(o) {
		setUnscheduledGauges(nil)
		return
	}
	began := time.Now()
	plan := c.makePlan(o, began)
	planSeconds.Update(time.Since(began).Seconds())
	c.recordUnscheduled(plan.Unscheduled, began)
	var commits conc.WaitGroup
	for id, part := range c.splitByShard(plan) {
		commits.Go(func() { c.commitShardPlan(ctx, o.shards[id], part) })
	}
	commits.Wait()
}

func (c *Controller) needsPlan(o *ownedTasks) bool {
	if len(o.pending) > 0 {
		return true
	}
	document := c.document()
	if document == nil || len(o.holdings) == 0 {
		return false
	}
	for _, zone := range document.Zones {
		if zone.OutOfService {
			return true
		}
	}
	return false
}

func (c *Controller) makePlan(o *ownedTasks, now time.Time) scheduler.Plan {
	c.learned.mu.Lock()
	defer c.learned.mu.Unlock()
	return scheduler.MakePlan(c.schedulerSnapshot(o, now), c.random)
}

// shardPlan is the part of a plan that concerns one shard.
type shardPlan struct {
	assignments []scheduler.Assignment
	evictions   []scheduler.Eviction
}

func (c *Controller) splitByShard(plan scheduler.Plan) map[uint16]*shardPlan {
	parts := map[uint16]*shardPlan{}
	part := func(taskID string) *shardPlan {
		id := c.shardOf(taskID)
		if parts[id] == nil {
			parts[id] = &shardPlan{}
		}
		return parts[id]
	}
	for _, assignment := range plan.Assignments {
		p := part(assignment.TaskID)
		p.assignments = append(p.assignments, assignment)
	}
	for _, eviction := range plan.Evictions {
		p := part(eviction.TaskID)
		p.evictions = append(p.evictions, eviction)
	}
	return parts
}

// commitShardPlan commits the decisions of a plan that are still valid. It sends no messages: the
// send loop derives them from the durable records.
func (c *Controller) commitShardPlan(ctx context.Context, shard Shard, part *shardPlan) {
	epoch := shard.Epoch()
	c.sends.addUnsent(part.assignments, epoch)
	var assigned []scheduler.Assignment
	var evicted []scheduler.Eviction
	err := c.propose(ctx, shard, func(tasks map[string]*task.Record) error {
		now := time.Now()
		assigned, evicted = assigned[:0], evicted[:0]
		for _, assignment := range part.assignments {
			if c.applyAssignment(tasks, &assignment, now) {
				assigned = append(assigned, assignment)
			}
		}
		for _, eviction := range part.evictions {
			if applyEviction(tasks, &eviction, now) {
				evicted = append(evicted, eviction)
			}
		}
		if len(assigned)+len(evicted) == 0 {
			return errNothingToCommit
		}
		return nil
	})
	if err != nil {
		c.sends.removeUnsent(part.assignments)
		if !errors.Is(err, errNothingToCommit) {
			c.logger.Warn("failed to commit a plan", "shard", shard.ID(), "assignments", len(part.assignments), "err", err)
		}
		return
	}
	c.sends.removeUnsent(unapplied(part.assignments, assigned))
	for index := range assigned {
		c.recordAssignment(&assigned[index])
	}
	for index := range evicted {
		c.recordEviction(&evicted[index])
	}
}

// unapplied returns the planned assignments that were not applied.
func unapplied(planned, applied []scheduler.Assignment) []scheduler.Assignment {
	appliedIDs := make(map[string]struct{}, len(applied))
	for index := range applied {
		appliedIDs[applied[index].TaskID] = struct{}{}
	}
	var rest []scheduler.Assignment
	for _, assignment := range planned {
		if _, ok := appliedIDs[assignment.TaskID]; !ok {
			rest = append(rest, assignment)
		}
	}
	return rest
}

// errNothingToCommit ends a mutation that would change no record.
var errNothingToCommit = errors.New("controller: no change to commit")

// applyAssignment applies an assignment if the current record, worker and configuration still permit
// it, and reports whether it did.
func (c *Controller) applyAssignment(tasks map[string]*task.Record, a *scheduler.Assignment, now time.Time) bool {
	record, ok := tasks[a.TaskID]
	if !ok || record.Attempt != a.Attempt || record.State != task.StatePending {
		return false
	}
	view, ok := c.fleet.View(a.Worker)
	if !ok || !view.Connected || view.Leaving || view.Session != a.Session {
		return false
	}
	if document := c.document(); document == nil || !document.ZoneInService(view.Zone) {
		return false
	}
	changed := record.Clone()
	if err := changed.Assign(a.Worker, a.Session, "assigned to "+a.Worker, now); err != nil {
		return false
	}
	tasks[a.TaskID] = changed
	return true
}

func applyEviction(tasks map[string]*task.Record, e *scheduler.Eviction, now time.Time) bool {
	record, ok := tasks[e.TaskID]
	if !ok {
		return false
	}
	changed := record.Clone()
	origin := task.Origin{Worker: e.Worker, Attempt: e.Attempt, Session: record.Session}
	if err := changed.EvictRequested(origin, "evicting: "+e.Cause.String(), now); err != nil {
		return false
	}
	tasks[e.TaskID] = changed
	return true
}

func (c *Controller) recordAssignment(a *scheduler.Assignment) {
	now := time.Now()
	c.learned.mu.Lock()
	if c.learned.health.Status(a.Worker, now) == scheduler.HealthProbe {
		c.learned.health.RecordProbe(a.Worker, now)
	}
	c.learned.mu.Unlock()
	reason := "best of " + plural(a.Considered, "feasible worker")
	c.logger.Info("placement", "task", a.TaskID, "attempt", a.Attempt+1, "worker", a.Worker,
		"over", a.RunnerUp, "considered", a.Considered, "score", a.Total, "runner_up_score", a.RunnerUpTotal,
		"scores", formatScores(a.Scores), "excluded", scheduler.FormatCounts(a.Filtered))
	c.decisions.add(a.TaskID, Decision{
		At: now, Action: "assign", Worker: a.Worker, Reason: reason, Filtered: a.Filtered, Scores: a.Scores,
	})
}

func (c *Controller) recordEviction(e *scheduler.Eviction) {
	c.logger.Info("eviction", "task", e.TaskID, "attempt", e.Attempt, "worker", e.Worker, "cause", e.Cause,
		"for", e.For, "destination", e.Destination, "loss_permille", e.LossPermille)
	c.decisions.add(e.TaskID, Decision{
		At: time.Now(), Action: "evict", Worker: e.Worker, Reason: e.Cause.String() + " " + e.For + e.Destination,
	})
}

func (c *Controller) recordUnscheduled(unscheduled []scheduler.Unscheduled, now time.Time) {
	setUnscheduledGauges(unscheduled)
	for _, entry := range unscheduled {
		c.decisions.add(entry.TaskID, Decision{At: now, Action: "wait", Reason: entry.Cause.String(), Filtered: entry.Filtered})
	}
}
