package planner

import (
	"slices"
	"time"

	"clementineflow/internal/urgency"
)

// scarceAfter is how long a task must have waited to show that its priority is short of room. A task that fits is placed at
// once, so one that has been tried twice has found none.
const scarceAfter = 250 * time.Millisecond

// deferralLogInterval is the minimum time between two log lines of deferrals: passes follow each event.
const deferralLogInterval = time.Second

// priorityKey identifies a priority of a service.
type priorityKey struct {
	service  string
	priority int
}

// deferLongRunning makes long-running candidates come after the others of their priority while some of these find no room,
// but none that has waited for maxPriorityWait. Otherwise long-running tasks come first, since tasks that are placed before
// them keep them from the workers on which they would be packed.
func (p *Planner) deferLongRunning(candidates []candidate) {
	if p.options.Order != urgency.ByCost {
		return
	}
	var scarce []priorityKey
	for _, c := range candidates {
		definition := &c.entry.spec.Steps[c.step]
		if definition.Filler || definition.LongRunning || p.longestWait(c) < scarceAfter {
			continue
		}
		if key := p.priorityKeyOf(c); !slices.Contains(scarce, key) {
			scarce = append(scarce, key)
		}
	}
	deferred := 0
	for i := range candidates {
		c := &candidates[i]
		c.rank.Deferred = c.entry.runsUntilCancelled() && slices.Contains(scarce, p.priorityKeyOf(*c)) &&
			p.longestWait(*c) < maxPriorityWait
		if c.rank.Deferred {
			deferred++
		}
	}
	p.recordDeferral(scarce, deferred)
}

// recordDeferral counts a pass in which steps of long-running tasks are deferred, and logs one in deferralLogInterval.
func (p *Planner) recordDeferral(scarce []priorityKey, steps int) {
	if steps == 0 {
		return
	}
	p.progress.promotions.Deferrals++
	if p.progress.deferralLoggedAt > 0 && p.now-p.progress.deferralLoggedAt < deferralLogInterval {
		return
	}
	p.progress.deferralLoggedAt = p.now
	p.log("long-running tasks deferred", "service", scarce[0].service, "priority", scarce[0].priority,
		"classes", len(scarce), "steps", steps)
}

func (p *Planner) priorityKeyOf(c candidate) priorityKey {
	return priorityKey{service: p.service(c.entry), priority: c.rank.Priority}
}
