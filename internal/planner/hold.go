package planner

import (
	"slices"
	"time"

	"clementineflow/internal/resource"
)

// holdPeriod is how long a worker is held for a job. Tasks of the jobs that compete take about 2 s, so that most of what
// is reserved there has ended by then; if it has not, another worker may become free earlier.
const holdPeriod = minProgressBound

// hold keeps a worker for a promoted job whose tasks fit nowhere: no task of a job that the promoted one precedes is placed
// there, not even in the room that is free already. Long-running tasks are exempt. Without a hold, tasks that need less room
// take each part that becomes free. There is at most one for each service and priority.
type hold struct {
	promotion
	agent *agent
	ends  time.Duration
	// tried is set once the job was tried in the current pass.
	tried bool
}

// holdWorker holds a worker for a promoted job if none is held for its service and priority. After a hold that ended
// unused, another job gets the next one, and on another worker: the room on the former one did not become free in time.
func (p *Planner) holdWorker(m promotion) {
	if p.now-m.entry.holdTriedAt < retryInterval {
		return
	}
	service := p.service(m.entry)
	for i := range p.progress.holds {
		other := &p.progress.holds[i]
		if other.rank.Priority == m.rank.Priority && p.service(other.entry) == service {
			return
		}
	}
	class := p.class(service, m.rank.Priority)
	if class.unused.entry == m.entry && slices.ContainsFunc(p.progress.owed, func(other promotion) bool {
		return other.entry != m.entry && other.rank.Priority == m.rank.Priority && p.service(other.entry) == service
	}) {
		return
	}
	m.entry.holdTriedAt = p.now
	best := p.chooseHeld(m.candidate, service, class.unused.agent)
	class.unused = hold{}
	if best == nil {
		return
	}
	// A hold never keeps a task of a more urgent priority off the worker.
	m.held, m.crossesPriority = true, false
	p.progress.holds = append(p.progress.holds, hold{promotion: m, agent: best, ends: p.now + holdPeriod, tried: true})
	p.progress.ordinaryDue = promotedShare - 1
	p.progress.promotions.HeldWorkers++
	definition := &m.entry.spec.Steps[m.step]
	p.log("worker held for job", "job", m.entry.spec.ID, "queue", m.entry.spec.Queue, "agent", best.name,
		"need", quantityText(reservedNeed(definition)), "free", quantityText(best.free()),
		"waited_ms", (p.now - m.entry.progressAt).Milliseconds())
}

// chooseHeld returns the worker with the most free processors among those on which a task of the step fits once the
// runs that end by themselves have ended, or nil if there is none. It leaves out the agent except.
func (p *Planner) chooseHeld(c candidate, service string, except *agent) *agent {
	definition := &c.entry.spec.Steps[c.step]
	need := reservedNeed(definition)
	var counts map[*agent]int
	if definition.MaxPerWorker > 0 {
		counts = p.perWorker(c.entry, c.step)
	}
	var best *agent
	for _, a := range p.workers {
		if a == except || definition.MaxPerWorker > 0 && counts[a] >= definition.MaxPerWorker {
			continue
		}
		if best != nil && a.free().MilliCPU <= best.free().MilliCPU || p.excludeWorker(service, definition, a) != StallNone ||
			a.suspected(p.now) || need.FitsIn(a.free()) || p.heldForEarlier(c.entry, a) {
			continue
		}
		if definition.Filler {
			if headroom, _ := p.headroom(definition, a); headroom < 0 {
				continue
			}
		}
		if need.FitsIn(a.capacity.Sub(p.lastingNeed(a))) {
			best = a
		}
	}
	return best
}

// lastingNeed returns what the long-running tasks on the worker reserve.
func (p *Planner) lastingNeed(a *agent) resource.Quantity {
	var sum resource.Quantity
	for r := range p.runsByIncarnation[a.incarnation] {
		if r.definition().LongRunning {
			sum = sum.Add(reservedNeed(r.definition()))
		}
	}
	return sum
}

// heldForEarlier reports whether the worker is held for another job that comes before the given one.
func (p *Planner) heldForEarlier(e *entry, a *agent) bool {
	for i := range p.progress.holds {
		h := &p.progress.holds[i]
		if h.agent != a || h.entry == e {
			continue
		}
		if rank := p.currentRank(e); h.precedes(candidate{entry: e, rank: rank}) {
			return true
		}
	}
	return false
}

// expireHolds ends the holds of jobs that need none any more, and those that have lasted for holdPeriod.
func (p *Planner) expireHolds() {
	p.progress.holds = slices.DeleteFunc(p.progress.holds, func(h hold) bool {
		if p.now < h.ends && h.agent.available() && !h.entry.progress.State.Final() && p.mayBePromoted(h.entry) {
			return false
		}
		p.log("held worker released", "job", h.entry.spec.ID, "agent", h.agent.name, "expired", p.now >= h.ends)
		if p.now >= h.ends {
			p.class(p.service(h.entry), h.rank.Priority).unused = h
		}
		// Jobs that were kept from the worker are tried there again.
		p.changes.markChanged(h.agent)
		return true
	})
	for i := range p.progress.holds {
		p.progress.holds[i].tried = false
	}
}

// promoteHeld places the tasks for which a worker is held and that precede the next candidate of the pass.
func (p *Planner) promoteHeld(next candidate, blocked *[toleranceCount]blockedShapes) {
	for i := range p.progress.holds {
		if h := &p.progress.holds[i]; !h.tried && h.precedes(next) {
			h.tried = true
			p.promote(h.promotion, blocked)
		}
	}
}
