package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"clementineflow/internal/resource"
)

// quotaInterval is the time between reads of the shards of other entries. With three entries it
// costs about 16 store reads per second and region, and bounds the time for which two entries can
// exceed a quota together.
const quotaInterval = 2 * time.Second

// quotaView is what the teams hold in the shards of other entries, per shard.
type quotaView struct {
	mu     sync.Mutex
	shards map[uint16]map[string]resource.Quantity
}

// use returns the sum over the shards that are not owned now.
func (q *quotaView) use(shards Shards) map[string]resource.Quantity {
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

func (q *quotaView) set(shards map[uint16]map[string]resource.Quantity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shards = shards
}

func (q *quotaView) copy() map[uint16]map[string]resource.Quantity {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.shards)
}

// quotaLoop reads the shards of other entries while tasks of teams with a quota are pending.
func (c *Controller) quotaLoop(ctx context.Context) error {
	return repeat(ctx, quotaInterval, 0, nil, c.refreshQuota)
}

func (c *Controller) refreshQuota(ctx context.Context) {
	if !c.quotaNeeded() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quotaInterval)
	defer cancel()
	known := c.quota.copy()
	current := map[uint16]map[string]resource.Quantity{}
	for id := range c.shardCount {
		if _, ok := c.shards.Shard(id); ok {
			continue
		}
		records, err := c.shards.Read(ctx, id)
		if err != nil {
			current[id] = known[id] // the last known use is the best estimate
			continue
		}
		teams := map[string]resource.Quantity{}
		for _, record := range records {
			if record.HoldsWorker() {
				addTeamUse(teams, record)
			}
		}
		current[id] = teams
	}
	c.quota.set(current)
}

func (c *Controller) quotaNeeded() bool {
	document := c.document()
	if document == nil {
		return false
	}
	for _, record := range c.collect().pending {
		if team, ok := document.Team(record.Spec.Team); ok && !team.Quota.IsZero() {
			return true
		}
	}
	return false
}
