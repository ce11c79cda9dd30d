package agent

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"clementineflow/internal/capacity"
	"clementineflow/internal/wire"
)

const (
	// announcementTTL is how long an announcement is valid. Targets announce themselves every second.
	announcementTTL = 3 * time.Second
	// maxTargets bounds the targets of one worker.
	maxTargets = 64
)

// target is one announced target.
type target struct {
	announcement Announcement
	announcedAt  time.Time
	latency      *latencyWindow
}

// onAnnounced registers or renews a target. A change is reported to the entries without delay.
func (c *core) onAnnounced(announcement Announcement) {
	key := capacity.TargetKey{Service: announcement.Service, Address: announcement.Address}
	known, ok := c.targets[key]
	if !ok && len(c.targets) >= maxTargets {
		c.logDecision(log.WarnLevel, "", "ignored a target: the limit of targets is reached",
			field{"service", key.Service}, field{"address", key.Address})
		return
	}
	announcement.Slots = limitedBy(announcement.Slots, c.identity.limits.Slots)
	announcement.Connections = limitedBy(announcement.Connections, c.identity.limits.Connections)
	if err := c.table.SetTarget(key, announcement.Slots, announcement.Connections); err != nil {
		return
	}
	if !ok {
		known = &target{latency: newLatencyWindow(c.now)}
		c.targets[key] = known
	}
	changed := known.announcement != announcement
	known.announcement, known.announcedAt = announcement, c.now
	if changed {
		c.logDecision(log.InfoLevel, "", "target announced", field{"service", key.Service}, field{"address", key.Address},
			field{"slots", strconv.Itoa(announcement.Slots)}, field{"leaving", formatYesNo(announcement.Leaving)})
		c.sendHeartbeats()
	}
}

// expireTargets removes targets that were not announced for announcementTTL.
func (c *core) expireTargets() {
	changed := false
	for _, key := range c.sortedTargets() {
		if !c.due(c.targets[key].announcedAt, announcementTTL) {
			continue
		}
		delete(c.targets, key)
		c.table.RemoveTarget(key)
		changed = true
		c.logDecision(log.WarnLevel, "targets_expired_total", "target expired", field{"service", key.Service}, field{"address", key.Address})
	}
	if changed {
		c.sendHeartbeats()
	}
}

// admitToTarget admits a request to the least used target of the service and returns the target, or the
// reason why no target can take the request.
func (c *core) admitToTarget(service string) (capacity.TargetKey, wire.NotRunReason) {
	reason := wire.NotRunNoTarget
	var candidates []capacity.TargetKey
	for _, key := range c.sortedTargets() {
		if key.Service != service {
			continue
		}
		if c.targets[key].announcement.Leaving {
			if reason == wire.NotRunNoTarget {
				reason = wire.NotRunLeaving
			}
			continue
		}
		reason = wire.NotRunBusy
		candidates = append(candidates, key)
	}
	slices.SortStableFunc(candidates, func(a, b capacity.TargetKey) int {
		return cmp.Compare(c.table.InUse(a), c.table.InUse(b))
	})
	for _, key := range candidates {
		if c.table.AdmitRequest(key) == nil {
			return key, wire.NotRunNone
		}
	}
	return capacity.TargetKey{}, reason
}

// targetStates returns the state of all targets for Hello and heartbeats.
func (c *core) targetStates() []wire.TargetState {
	states := make([]wire.TargetState, 0, len(c.targets))
	for _, key := range c.sortedTargets() {
		known := c.targets[key]
		inUse := c.table.InUse(key)
		states = append(states, wire.TargetState{
			Service:         key.Service,
			Address:         key.Address,
			Slots:           known.announcement.Slots,
			Connections:     known.announcement.Connections,
			SlotsUsed:       inUse,
			ConnectionsUsed: inUse,
			Leaving:         known.announcement.Leaving || c.leaving,
			LatencyMicros:   known.latency.p99(c.now),
		})
	}
	return states
}

// sortedTargets returns the target keys in ascending order, which keeps the core deterministic.
func (c *core) sortedTargets() []capacity.TargetKey {
	return slices.SortedFunc(maps.Keys(c.targets), func(a, b capacity.TargetKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
}
