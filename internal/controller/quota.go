package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"clementineflow/internal/resource"
)

// quotaInterval is the time between reads of the shards of other entries. It limits the time for
// which two entries together can exceed a quota. With three entries it costs about 16 store reads
// per second and region.
const quotaInterval = 2 * time.Second

// remoteTeamUse holds the resources that teams use in the shards of other entries, per shard and team.
type remoteTeamUse struct {
	mu     sync.Mutex
	shards map[uint16]map[string]resource.Quantity
}

// sumByTeam returns each team's use over the shards that this entry does not own at present.
func (q *remoteTeamUse) sumByTeam(shards Shards) map[string]resource.Quantity {
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := map[string]resource.Quantity{}
	for id, teams := range q.shards {
		if _, ok := shards.Shard(id); ok {
			continue
		}
		for team, use := range teams {
			sum[team] = sum[team].Add(use)
		}
	}
	return sum
}

func (q *remoteTeamUse) set(shards map[uint16]map[string]resource.Quantity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shards = shards
}

func (q *remoteTeamUse) copy() map[uint16]map[string]resource.Quantity {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.shards)
}

// quotaLoop reads the shards of other entries while tasks of teams with a quota are pending.
func (c *Controller) quotaLoop(ctx context.Context) error {
	return runPeriodically(ctx, quotaInterval, 0, nil, c.refreshRemoteUse)
}

func (c *Controller) refreshRemoteUse(ctx context.Context) {
	if !c.hasPendingQuotaTask() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quotaInterval)
	defer cancel()
	previous := c.remoteUse.copy()
	current := map[uint16]map[string]resource.Quantity{}
	for id := range c.shardCount {
		if _, ok := c.shards.Shard(id); ok {
			continue
		}
		records, err := c.shards.ReadRecords(ctx, id)
		if err != nil {
			current[id] = previous[id] // keep the last value that could be read
			continue
		}
		teams := map[string]resource.Quantity{}
		for _, record := range records {
			if record.HasAssignment() {
				addTeamUse(teams, record)
			}
		}
		current[id] = teams
	}
	c.remoteUse.set(current)
}

func (c *Controller) hasPendingQuotaTask() bool {
	document := c.document()
	if document == nil {
		return false
	}
	for _, record := range c.collectOwnedTasks().pending {
		if team, ok := document.Team(record.Spec.Team); ok && !team.Quota.IsZero() {
			return true
		}
	}
	return false
}
