package planner

import (
	"slices"
	"time"

	"clementineflow/internal/job"
	"clementineflow/internal/store"
	"clementineflow/internal/urgency"
	"clementineflow/internal/wire"
)

const (
	// recordEntries is the number of transaction entries of a record: a condition and a write.
	recordEntries = 2
	// removalEntries is the number of keys that are deleted with a job.
	removalEntries = 3
)

// Record is the encoded progress of one job, to be written if the stored revision is still Revision.
type Record struct {
	Job      string
	Revision store.Revision
	Value    []byte
}

// Commit is a set of records to be written in one transaction. Its effects are applied after it was written.
type Commit struct {
	Records []Record
	// Remove lists jobs whose records are deleted, RemoveCancels jobs of which only the cancellation is deleted.
	Remove        []string
	RemoveCancels []string

	entries []*entry
	effects [][]effect
}

// Empty reports whether there is nothing to write.
func (c *Commit) Empty() bool { return len(c.Records)+len(c.Remove)+len(c.RemoveCancels) == 0 }

func (p *Planner) markDirty(e *entry) {
	if !e.dirty {
		e.dirty = true
		p.dirty = append(p.dirty, e)
	}
}

// afterCommit sends the order after all changes of the job up to now are committed.
func (p *Planner) afterCommit(e *entry, order Order) {
	if !e.dirty && !e.inFlight {
		p.orders = append(p.orders, order)
		return
	}
	p.markDirty(e)
	e.effects = append(e.effects, effect{order: order})
}

// NextCommit assigns waiting tasks and returns records to write that need at most room entries of a
// transaction. wallMillis is the wall clock time, which is recorded with finished jobs.
//
// Several commits may be in flight. A job is in at most one of them, so that they can be written in any order.
// busy is set while others are in flight: records that start no task then wait until a commit is full, so that
// the ends of several runs share a write.
func (p *Planner) NextCommit(room int, wallMillis int64, busy bool) *Commit {
	p.assign()
	p.stalls.assignedAt = p.now
	c := &Commit{}
	count := room / recordEntries
	chosen := p.chooseRecords(count)
	if busy && len(chosen) < count && !slices.ContainsFunc(chosen, (*entry).startsTask) {
		return c
	}
	for _, e := range chosen {
		p.addRecord(c, e, wallMillis)
	}
	p.dirty = slices.DeleteFunc(p.dirty, func(e *entry) bool { return !e.dirty })
	room -= recordEntries * len(c.Records)
	c.Remove, p.removable = takeFirst(p.removable, room/removalEntries)
	c.RemoveCancels, p.removableCancels = takeFirst(p.removableCancels, room-removalEntries*len(c.Remove))
	return c
}

// takeFirst splits a list after at most count elements.
func takeFirst(list []string, count int) (first, rest []string) {
	count = min(len(list), count)
	return slices.Clone(list[:count]), list[count:]
}

// chooseRecords returns at most count jobs whose records can be written now: first those that start a task,
// then the others, both in the order of their changes.
func (p *Planner) chooseRecords(count int) []*entry {
	chosen := make([]*entry, 0, count)
	for _, starting := range []bool{true, false} {
		for _, e := range p.dirty {
			if len(chosen) == count {
				return chosen
			}
			if !e.inFlight && e.startsTask() == starting {
				chosen = append(chosen, e)
			}
		}
	}
	return chosen
}

// addRecord adds the record of a job to a commit.
func (p *Planner) addRecord(c *Commit, e *entry, wallMillis int64) {
	if e.progress.State.Final() && e.progress.EndedAtMillis == 0 {
		e.progress.EndedAtMillis = wallMillis
	}
	e.dirty = false
	value, err := job.EncodeProgress(e.progress)
	if err != nil {
		p.log("progress can't be encoded", "job", e.spec.ID, "error", err)
		return
	}
	c.Records = append(c.Records, Record{Job: e.spec.ID, Revision: e.revision, Value: value})
	c.entries = append(c.entries, e)
	c.effects = append(c.effects, e.effects)
	e.effects, e.inFlight = nil, true
}

// HandleCommitted applies the effects of a commit that was written with the revision.
func (p *Planner) HandleCommitted(c *Commit, revision store.Revision) {
	for i, e := range c.entries {
		e.inFlight = false
		e.revision = revision
		p.publishState(e)
		for _, next := range c.effects[i] {
			p.applyEffect(next)
		}
	}
	for _, id := range c.Remove {
		p.removeEntry(id)
	}
	for _, id := range c.RemoveCancels {
		if cancel := p.pendingCancels[id]; cancel != nil && cancel.removing {
			p.removePendingCancel(id)
		}
	}
}

// publishState makes the committed state of a job visible to callers.
func (p *Planner) publishState(e *entry) {
	// A state that changed after the record was encoded is published by the next commit.
	if e.dirty || e.published == e.progress.State {
		return
	}
	e.published = e.progress.State
	if e.published.Final() {
		p.finished = append(p.finished, e)
		p.log("job ended", "job", e.spec.ID, "state", e.published, "after_ms", (p.now - e.submittedAt).Milliseconds())
	}
}

// applyEffect sends the order of a committed effect. A start is skipped if the run is no longer assigned.
func (p *Planner) applyEffect(next effect) {
	if next.start.entry == nil {
		p.orders = append(p.orders, next.order)
		return
	}
	r := next.start
	if r.task().Phase == job.PhaseAssigned && r.task().Run == next.run {
		p.sendStart(r)
	}
}

// HandleCommitFailed handles a commit that was not written or whose outcome is unknown. Its jobs are written again with
// their current progress. revisions returns the stored revision of a job, or false if it is unknown.
func (p *Planner) HandleCommitFailed(c *Commit, revisions func(id string) (store.Revision, bool)) {
	for i, e := range c.entries {
		e.inFlight = false
		e.effects = append(c.effects[i], e.effects...)
		p.markDirty(e)
		if revision, ok := revisions(e.spec.ID); ok {
			e.revision = revision
		}
	}
	p.removable = append(p.removable, c.Remove...)
	p.removableCancels = append(p.removableCancels, c.RemoveCancels...)
}

// recordTimings records the delays up to the first start order of a run.
func (p *Planner) recordTimings(r ref) {
	timings := StartTimings{PlacementDelay: p.now - r.run().waitingSince, FirstStartDelay: -1}
	if !r.entry.hasStarted {
		timings.FirstStartDelay = p.now - r.entry.addedAt
	}
	p.timings = append(p.timings, timings)
}

// sendStart sends the start order of an assigned run.
func (p *Planner) sendStart(r ref) {
	task, current, definition := r.task(), r.run(), r.definition()
	if !current.ordered {
		p.recordTimings(r)
		current.startedAt = p.now
		r.entry.progressAt = p.now
		if a := p.agents[task.Worker.Agent]; a != nil && p.suspected(r) {
			p.beginProbation(r, a)
		}
	}
	current.ordered = true
	current.orderAt = p.now
	r.entry.hasStarted = true
	var pressures []wire.PressureRow
	if a := p.agents[task.Worker.Agent]; definition.Filler && a != nil {
		pressures = p.pressureRows(r, a)
	}
	p.orders = append(p.orders, Order{Agent: task.Worker.Agent, Message: &wire.StartRun{
		Pressures: pressures,
		Task:      r.name(), Run: task.Run, WorkerID: task.Worker.ID, Incarnation: task.Worker.Incarnation,
		Payload: r.entry.spec.Payload, Checkpoint: task.Checkpoint,
		Filler: definition.Filler, Image: definition.Image, MilliCPU: definition.Need.MilliCPU,
		LatencyTargetMillis: definition.LatencyTarget.Milliseconds(), WorkPerValue: p.workPerValue(r),
	}})
}

// workPerValue returns the processor time, in seconds, that the job of a filler needs for each unit of value, or zero
// unless jobs go by the cost of their delay.
func (p *Planner) workPerValue(r ref) float32 {
	if p.options.Order != urgency.ByCost || !r.definition().Filler {
		return 0
	}
	return float32(p.currentRank(r.entry).WorkPerValue() / float64(time.Second))
}

// sendStop sends the stop order of a run that may exist on its worker.
func (p *Planner) sendStop(r ref) {
	task := r.task()
	r.run().stopping = true
	r.run().orderAt = p.now
	p.orders = append(p.orders, Order{Agent: task.Worker.Agent, Message: &wire.StopRun{
		Task: r.name(), Run: task.Run, WorkerID: task.Worker.ID, Incarnation: task.Worker.Incarnation,
	}})
}
