package controller

import (
	"time"

	"clementineflow/internal/configuration"
	"clementineflow/internal/resource"
	"clementineflow/internal/scheduler"
	"clementineflow/internal/task"
	"clementineflow/internal/wire"
)

const (
	// reportLag is the maximum age of a heartbeat's content on arrival.
	reportLag = time.Second
	// maxPendingPerPlan limits the duration of one plan when many tasks are pending.
	maxPendingPerPlan = 2000
)

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	taskID  string
	attempt uint32
}

// ownedTasks holds the tasks of the owned shards, taken from one snapshot per shard.
type ownedTasks struct {
	records  map[string]*task.Record
	pending  []*task.Record
	holdings map[string][]*task.Record
	shards   map[uint16]Shard
}

func (c *Controller) collectOwnedTasks() *ownedTasks {
	o := &ownedTasks{records: map[string]*task.Record{}, holdings: map[string][]*task.Record{}, shards: map[uint16]Shard{}}
	for _, shard := range c.shards.Owned() {
		o.shards[shard.ID()] = shard
		for id, record := range shard.Snapshot() {
			o.add(id, record)
		}
	}
	return o
}

func (o *ownedTasks) add(id string, record *task.Record) {
	o.records[id] = record
	switch {
	case record.State == task.StatePending:
		o.pending = append(o.pending, record)
	case record.HasAssignment():
		o.holdings[record.Worker] = append(o.holdings[record.Worker], record)
	}
}

// limitPending returns at most maxPendingPerPlan pending tasks. Tasks that may evict others come
// first. The order is random otherwise, so that tasks that cannot be placed do not block the rest.
func (c *Controller) limitPending(pending []*task.Record) []*task.Record {
	if len(pending) <= maxPendingPerPlan {
		return pending
	}
	c.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	chosen := make([]*task.Record, 0, len(pending))
	var others []*task.Record
	for _, record := range pending {
		if record.Spec.Kind == task.KindService || record.Spec.Priority == task.PriorityUrgent {
			chosen = append(chosen, record)
		} else {
			others = append(others, record)
		}
	}
	return append(chosen, others...)[:maxPendingPerPlan]
}

// schedulerSnapshot returns the scheduler's input. The caller must hold the lock of c.learned.
func (c *Controller) schedulerSnapshot(o *ownedTasks, now time.Time) *scheduler.Snapshot {
	document := c.document()
	snapshot := &scheduler.Snapshot{
		Now: now, Pending: c.limitPending(o.pending), Document: document, Model: c.learned.model,
		Sizes: c.learned.sizes, TeamUse: c.remoteUse.sumByTeam(c.shards),
	}
	for _, records := range o.holdings {
		for _, record := range records {
			addTeamUse(snapshot.TeamUse, record)
		}
	}
	for _, view := range c.fleet.Views() {
		snapshot.Workers = append(snapshot.Workers, c.schedulerWorker(&view, o, document, now))
	}
	return snapshot
}

func addTeamUse(use map[string]resource.Quantity, record *task.Record) {
	if scheduler.CountsAgainstQuota(record.Spec.Kind) {
		use[record.Spec.Team] = use[record.Spec.Team].Add(record.Spec.Size)
	}
}

func (c *Controller) schedulerWorker(view *View, o *ownedTasks, document *configuration.Document, now time.Time) scheduler.Worker {
	worker := scheduler.Worker{
		Name: view.Name, Zone: view.Zone, Rack: view.Rack, Session: view.Session, Capacity: view.Capacity,
		Connected: view.Connected, Leaving: view.Leaving,
		Health:       c.learned.health.Status(view.Name, now),
		LatencyRatio: worstLatencyRatio(view.Latencies, document),
		// Free is zero before the worker's first heartbeat, although the worker is empty.
		HasFreeLimit: !view.Free.IsZero() || len(view.Tasks) > 0,
	}
	reported := map[attemptKey]*wire.TaskStatus{}
	for index := range view.Tasks {
		status := &view.Tasks[index]
		reported[attemptKey{status.TaskID, status.Attempt}] = status
		worker.Observed = worker.Observed.Add(status.Usage)
	}
	worker.FreeLimit = view.Free.Add(c.released.sum(view.Name, now))
	for _, record := range o.holdings[view.Name] {
		key := attemptKey{record.ID, record.Attempt}
		holding := scheduler.AssignedTask{Record: record}
		if status, ok := reported[key]; ok {
			holding.ProgressPermille = status.ProgressPermille
		}
		delete(reported, key)
		worker.AssignedTasks = append(worker.AssignedTasks, holding)
		if isUnreported(record, view) {
			worker.FreeLimit = worker.FreeLimit.Sub(record.Spec.Size)
		}
	}
	for _, status := range reported {
		if c.isNeighbour(status, o) {
			worker.Neighbours = append(worker.Neighbours, scheduler.Neighbour{Class: status.Class, Kind: status.TaskKind, Size: status.Size})
		}
	}
	return worker
}

// isUnreported reports whether the worker's reported free capacity may not include the task yet.
func isUnreported(record *task.Record, view *View) bool {
	return record.State == task.StateAssigned || record.StartedAt.After(view.LastMessageAt.Add(-reportLag))
}

// isNeighbour reports whether a reported attempt is running and belongs to another entry's shard. The
// caller has removed the attempts of owned tasks that hold the worker; any other attempt of an owned
// shard has ended since the report.
func (c *Controller) isNeighbour(status *wire.TaskStatus, o *ownedTasks) bool {
	_, isOwned := o.shards[c.shardOf(status.TaskID)]
	return status.Running && !isOwned
}

// worstLatencyRatio returns the highest ratio of a reported p99 latency to its service's objective,
// or 0 if there is none.
func worstLatencyRatio(latencies []wire.ServiceLatency, document *configuration.Document) float64 {
	highest := 0.0
	if document == nil {
		return highest
	}
	for _, latency := range latencies {
		service, ok := document.Service(latency.Service)
		if ok && service.LatencyObjective > 0 {
			highest = max(highest, float64(latency.P99Micros)/float64(service.LatencyObjective.Microseconds()))
		}
	}
	return highest
}
