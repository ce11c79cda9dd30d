package planner

// promoteBefore places one task each of the jobs that are owed progress and precede the next candidate of the pass,
// as far as the share of promoted jobs allows.
func (p *Planner) promoteBefore(next candidate, blocked *[toleranceCount]blockedShapes) {
	for len(p.progress.owed) > 0 {
		first := p.progress.owed[0]
		if !first.precedes(next) || !first.crossesPriority && p.progress.ordinaryDue > 0 {
			return
		}
		p.progress.owed = p.progress.owed[1:]
		p.promote(first, blocked)
	}
}

// precedes reports whether the job is placed before the next candidate of the order. Candidates without an objective
// keep their place in their priority.
func (m promotion) precedes(next candidate) bool {
	return m.crossesPriority || m.rank.Priority < next.rank.Priority ||
		m.rank.Priority == next.rank.Priority && next.entry.cachedObjective > 0
}

// promote places one task of the job if it is still owed progress and a worker has room for it.
func (p *Planner) promote(m promotion, blocked *[toleranceCount]blockedShapes) {
	e := m.entry
	if m.crossesPriority && !p.priorityOverdue(e) || !p.mayBePromoted(e) {
		return
	}
	waiting, waited := e.waiting, p.now-e.progressAt
	m.onlyOne = true
	p.assignStep(m.candidate, blocked)
	if e.waiting == waiting {
		if !m.held {
			p.holdWorker(m)
		}
		return
	}
	if !m.held {
		p.progress.ordinaryDue = promotedShare - 1
	}
	if class := p.class(p.service(e), m.rank.Priority); class.unused.entry != e {
		class.unused.entry = nil
	}
	reason := "progress"
	if m.crossesPriority {
		reason = "priority"
		p.progress.promotions.Priority++
	} else {
		p.progress.promotions.Progress++
	}
	p.log("job promoted", "job", e.spec.ID, "queue", e.spec.Queue, "priority", m.rank.Priority, "reason", reason,
		"level", p.currentRank(e).Level, "work_core_ms", p.remainingWork(e).Milliseconds(), "waited_ms", waited.Milliseconds(),
		"objective_ms", e.cachedObjective.Milliseconds())
}
