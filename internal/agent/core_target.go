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
	// targetTerm is how long an announcement is valid.
	targetTerm = 3 * time.Second
	// maxTargets bounds the targets of one worker.
	maxTargets = 64
)

// target is one announced target.
type target struct {
	announcement Announcement
	seenAt       time.Time
	latency      *latencyWindow
}

// onAnnounced registers or renews a target. Entries learn a change at once.
func (c *core) onAnnounced(announcement Announcement) {
	key := capacity.TargetKey{Service: announcement.Service, Address: announcement.Address}
	known, ok := c.targets[key]
	if !ok && len(c.targets) >= maxTargets {
		c.report(log.WarnLevel, "", "ignored a target above the limit", field{"service", key.Service}, field{"address", key.Address})
		return
	}
	announcement.Slots = bounded(announcement.Slots, c.identity.limits.Slots)
	announcement.Connections = bounded(announcement.Connections, c.identity.limits.Connections)
	if err := c.table.SetTarget(key, announcement.Slots, announcement.Connections); err != nil {
		return
	}
	if !ok {
		known = &target{latency: newLatencyWindow(c.now)}
		c.targets[key] = known
	}
	changed := known.announcement != announcement
	known.announcement, known.seenAt = announcement, c.now
	if changed {
		c.report(log.InfoLevel, "", "target announced", field{"service", key.Service}, field{"address", key.Address},
			field{"slots", strconv.Itoa(announcement.Slots)}, field{"leaving", yesNo(announcement.Leaving)})
		c.heartbeatNow()
	}
}

// expireTargets withdraws targets that were not announced for targetTerm.
func (c *core) expireTargets() {
	changed := false
	for _, key := range c.sortedTargets() {
		if !c.due(c.targets[key].seenAt, targetTerm) {
			continue
		}
		delete(c.targets, key)
		c.table.RemoveTarget(key)
		changed = true
		c.report(log.WarnLevel, "targets_expired_total", "target expired", field{"service", key.Service}, field{"address", key.Address})
	}
	if changed {
		c.heartbeatNow()
	}
}

// chooseTarget returns the least used target of the service and admits a request to it, or the reason
// why there is none.
func (c *core) chooseTarget(service string) (capacity.TargetKey, wire.NotRunReason) {
	reason := wire.NotRunNoTarget
	var free []capacity.TargetKey
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
		free = append(free, key)
	}
	slices.SortStableFunc(free, func(a, b capacity.TargetKey) int {
		return cmp.Compare(c.table.InUse(a), c.table.InUse(b))
	})
	for _, key := range free {
		if c.table.AdmitRequest(key) == nil {
			return key, wire.NotRunNone
		}
	}
	return capacity.TargetKey{}, reason
}

// targetStates returns all targets for a report.
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

// sortedTargets returns the targets' keys in ascending order, so that the core is deterministic.
func (c *core) sortedTargets() []capacity.TargetKey {
	return slices.SortedFunc(maps.Keys(c.targets), func(a, b capacity.TargetKey) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
}
